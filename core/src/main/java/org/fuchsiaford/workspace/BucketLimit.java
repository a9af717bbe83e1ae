package org.fuchsiaford.workspace;

import org.fuchsiaford.bundle.Workspace;

/**
 * The part of a workspace's limit that one home slot accrues. Immutable.
 *
 * @param ratePerSecond the rate of the part, in tokens a second
 * @param capacityNanotokens the burst of the part, in nanotokens
 */
public record BucketLimit(double ratePerSecond, long capacityNanotokens) {
    /** A share that accrues nothing. */
    public static final BucketLimit NONE = new BucketLimit(0, 0);

    /** Returns the share of each of a workspace's home slots. */
    public static BucketLimit of(Workspace workspace, int homes) {
        return new BucketLimit(
                (double) workspace.ratePerSecond() / homes,
                workspace.burstTokens() * HomeBucket.NANOTOKENS_PER_TOKEN / homes);
    }

    /** Returns the tokens accrued over a time, in nanotokens, at most the capacity. */
    public long accruedNanotokens(long elapsedNanos) {
        // One token a second is one nanotoken a nanosecond.
        return (long) Math.min(elapsedNanos * ratePerSecond, capacityNanotokens);
    }

    /** Returns a share that accrues no more than this one or the other. */
    public BucketLimit min(BucketLimit other) {
        return new BucketLimit(
                Math.min(ratePerSecond, other.ratePerSecond),
                Math.min(capacityNanotokens, other.capacityNanotokens));
    }
}
