package org.fuchsiaford.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.routing.TokenQuota;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Enforces the token rate limits of workspaces over all hosts together.
 *
 * <p>A coordinator keeps one token bucket per workspace for the whole fleet. It subtracts what it
 * grants to any host and what the hosts report that they were granted elsewhere. A host that
 * reaches no coordinator uses its own buckets with its part of the limits. In a network partition,
 * each partition refills its buckets only with its share of the rate, so that the shares of all
 * partitions add up to the rate.
 *
 * <p>Invariant: a bucket is refilled with at most the share of rate and burst of the reachable
 * hosts. Tokens that other hosts admitted while they were unreachable came out of their own share
 * and are not subtracted again. Thread-safe.
 */
public final class FleetQuota {
    /** Fraction of the burst in a new bucket; other hosts may just have used the rest. */
    private static final double INITIAL_LEVEL_FRACTION = 0.125;

    /** Time without a report after which a host is unreachable: several report intervals. */
    public static final long HOST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Share of the limits below which a request must not be admitted on credit: as many hosts may
     * be cut off at once as there are such shares, and each would give one.
     */
    private static final double MIN_SHARE_FOR_CREDIT = 0.25;

    /** Time for which tokens are saved for a request that is larger than a bucket. */
    private static final long SAVING_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<WorkspaceId, Bucket> mBuckets = new HashMap<>();
    private final Map<HostId, HostReport> mReports = new HashMap<>();
    private final Map<WorkspaceId, Long> mAdmitted = new HashMap<>();
    private final Map<HostId, Map<WorkspaceId, Long>> mGrantedBy = new HashMap<>();
    private final long mStartNanos;
    private double mShare = 1;

    private static final class Bucket {
        private double mLevel;
        private long mUpdatedNanos;
        private double mSavedForTokens;
        private long mSavingUntilNanos;
    }

    private static final class HostReport {
        private final Map<WorkspaceId, Long> mTotals = new HashMap<>();
        private long mReceivedNanos;
        private boolean mReceived;
    }

    /**
     * Creates the quota of a host that has admitted nothing.
     *
     * @param startNanos when the host started; buckets are refilled from this time on
     */
    public FleetQuota(long startNanos) {
        mStartNanos = startNanos;
    }

    /**
     * Sets the share of rate and burst that this host and its reachable hosts may use together.
     *
     * @param share more than 0, at most 1
     */
    public synchronized void setShare(double share) {
        mShare = share;
    }

    /**
     * Admits a request of this host if the bucket holds enough tokens.
     *
     * @return zero if admitted, otherwise the time in nanoseconds until there are enough tokens
     */
    public synchronized long admit(
            WorkspaceId workspace, TokenQuota quota, long tokens, long nowNanos) {
        long waitNanos = grant(workspace, quota, tokens, nowNanos);
        if (waitNanos == 0) {
            mAdmitted.merge(workspace, tokens, Long::sum);
        }
        return waitNanos;
    }

    /**
     * Grants tokens to a request of another host if the bucket holds enough. A request larger than
     * the burst is admitted on a full bucket and leaves a negative level, except at a host with a
     * small share, which saves tokens for it.
     *
     * @return zero if granted, otherwise the time in nanoseconds until there are enough tokens
     */
    public synchronized long grant(
            WorkspaceId workspace, TokenQuota quota, long tokens, long nowNanos) {
        Bucket bucket = bucket(workspace, quota);
        refill(bucket, quota, nowNanos);
        double cap = Math.max(1, quota.burstTokens() * mShare);
        double needed = mShare < MIN_SHARE_FOR_CREDIT ? tokens : Math.min(tokens, cap);
        if (bucket.mLevel >= needed) {
            bucket.mLevel -= tokens;
            return 0;
        }
        bucket.mSavedForTokens = needed;
        bucket.mSavingUntilNanos = nowNanos + SAVING_NANOS;
        double tokensPerNano = quota.tokensPerSecond() * mShare / NANOS_PER_SECOND;
        return Math.max(1, (long) ((needed - bucket.mLevel) / tokensPerNano));
    }

    /**
     * Describes the state behind a decision: the level of the workspace's bucket, and the share.
     */
    public synchronized String describe(WorkspaceId workspace) {
        Bucket bucket = mBuckets.get(workspace);
        double level = bucket == null ? 0 : bucket.mLevel;
        return String.format(Locale.ROOT, "level %.0f tokens, share %.2f", level, mShare);
    }

    /** Refunds the tokens of a request of this host that did not run. */
    public synchronized void refund(WorkspaceId workspace, long tokens) {
        refundGrant(workspace, tokens);
        mAdmitted.merge(workspace, -tokens, Long::sum);
    }

    /** Takes back tokens that were granted to a request of another host. */
    public synchronized void refundGrant(WorkspaceId workspace, long tokens) {
        Bucket bucket = mBuckets.get(workspace);
        if (bucket != null) {
            bucket.mLevel += tokens;
        }
    }

    /**
     * Records tokens that a coordinator has granted to this host.
     *
     * @param tokens the tokens, negative if they were refunded
     */
    public synchronized void recordGranted(HostId coordinator, WorkspaceId workspace, long tokens) {
        mGrantedBy
                .computeIfAbsent(coordinator, id -> new HashMap<>())
                .merge(workspace, tokens, Long::sum);
    }

    /** Returns the tokens that this host has admitted for each workspace. */
    public List<WorkspaceTotal> totals() {
        return totalsExcept(null);
    }

    /**
     * Returns the tokens that this host has admitted for each workspace, without those granted by a
     * coordinator, which knows of them.
     */
    public synchronized List<WorkspaceTotal> totalsExcept(HostId coordinator) {
        Map<WorkspaceId, Long> totals = new HashMap<>(mAdmitted);
        mGrantedBy.forEach(
                (grantor, granted) -> {
                    if (!grantor.equals(coordinator)) {
                        granted.forEach((w, tokens) -> totals.merge(w, tokens, Long::sum));
                    }
                });
        return totals.entrySet().stream()
                .map(e -> new WorkspaceTotal(e.getKey(), e.getValue()))
                .toList();
    }

    /** Subtracts what another host has admitted since its last report, if it was reachable. */
    public synchronized void mergeReport(HostId host, List<WorkspaceTotal> totals, long nowNanos) {
        HostReport report = mReports.computeIfAbsent(host, h -> new HostReport());
        boolean wasReachable =
                report.mReceived && nowNanos - report.mReceivedNanos <= HOST_TIMEOUT_NANOS;
        totals.forEach(total -> merge(report, total, wasReachable));
        report.mReceived = true;
        report.mReceivedNanos = nowNanos;
    }

    private void merge(HostReport report, WorkspaceTotal total, boolean wasReachable) {
        Long last = report.mTotals.put(total.workspace(), total.tokens());
        Bucket bucket = mBuckets.get(total.workspace());
        if (bucket != null && wasReachable) {
            bucket.mLevel -= total.tokens() - (last == null ? 0 : last);
        }
    }

    /** Drops the reports of a host that has left; what it granted stays in the totals. */
    public synchronized void removeHost(HostId host) {
        mReports.remove(host);
        Map<WorkspaceId, Long> granted = mGrantedBy.remove(host);
        if (granted != null) {
            granted.forEach((w, tokens) -> mAdmitted.merge(w, tokens, Long::sum));
        }
    }

    private Bucket bucket(WorkspaceId workspace, TokenQuota quota) {
        return mBuckets.computeIfAbsent(
                workspace,
                id -> {
                    Bucket fresh = new Bucket();
                    fresh.mLevel = quota.burstTokens() * mShare * INITIAL_LEVEL_FRACTION;
                    fresh.mUpdatedNanos = mStartNanos;
                    return fresh;
                });
    }

    private void refill(Bucket bucket, TokenQuota quota, long nowNanos) {
        double elapsedSeconds = (nowNanos - bucket.mUpdatedNanos) / NANOS_PER_SECOND;
        boolean saving = nowNanos - bucket.mSavingUntilNanos < 0;
        double cap = Math.max(quota.burstTokens() * mShare, saving ? bucket.mSavedForTokens : 0);
        double level = bucket.mLevel + elapsedSeconds * quota.tokensPerSecond() * mShare;
        bucket.mLevel = Math.max(Math.min(level, cap), -quota.burstTokens());
        bucket.mUpdatedNanos = nowNanos;
    }
}
