package org.fuchsiaford.workspace;

import org.fuchsiaford.bundle.Workspace;

/**
 * The share of a workspace's limit that the bucket at one home slot enforces. Immutable.
 *
 * @param ratePerSecond the accrual rate, in tokens per second
 * @param capacityNanotokens the burst capacity, in nanotokens
 */
public record BucketLimit(double ratePerSecond, long capacityNanotokens) {
    /** A limit with rate and capacity zero. */
    public static final BucketLimit NONE = new BucketLimit(0, 0);

    /** Returns the limit of each bucket of a workspace, split evenly between its home slots. */
    public static BucketLimit of(Workspace workspace, int homes) {
        return new BucketLimit(
                (double) workspace.ratePerSecond() / homes,
                workspace.burstTokens() * HomeBucket.NANOTOKENS_PER_TOKEN / homes);
    }

    /** Returns the tokens accrued in the given time, in nanotokens, at most the capacity. */
    public long accruedNanotokens(long elapsedNanos) {
        // One token per second equals one nanotoken per nanosecond.
        return (long) Math.min(elapsedNanos * ratePerSecond, capacityNanotokens);
    }

    /** Returns the limit with the lower rate and the lower capacity of the two. */
    public BucketLimit min(BucketLimit other) {
        return new BucketLimit(
                Math.min(ratePerSecond, other.ratePerSecond),
                Math.min(capacityNanotokens, other.capacityNanotokens));
    }
}
