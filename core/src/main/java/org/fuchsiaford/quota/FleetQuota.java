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
 * <p>Each host keeps one token bucket per workspace for the whole fleet, and subtracts from it what
 * it admits itself and what the other hosts report. In a network partition, each partition refills
 * its buckets only with its share of the rate, so that the shares of all partitions add up to the
 * rate.
 *
 * <p>Invariant: a bucket is refilled with at most the share of rate and burst of the reachable
 * hosts. Tokens that other hosts admitted while they were unreachable came out of their own share
 * and are not subtracted again. Thread-safe.
 */
public final class FleetQuota {
    /** Fraction of the burst in a new bucket; other hosts may just have used the rest. */
    private static final double INITIAL_LEVEL_FRACTION = 0.125;

    /** Fraction of the burst below which each admission must be reported to other hosts soon. */
    private static final double NEAR_LIMIT_FRACTION = 0.5;

    /** Time without a report after which a host is unreachable: several report intervals. */
    public static final long HOST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<WorkspaceId, Bucket> mBuckets = new HashMap<>();
    private final Map<HostId, HostReport> mReports = new HashMap<>();
    private final long mStartNanos;
    private double mShare = 1;
    private boolean mNearLimit;

    private static final class Bucket {
        private double mLevel;
        private long mUpdatedNanos;
        private long mAdmittedTokens;
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
     * Admits a request if the bucket holds enough tokens. A request larger than the burst is
     * admitted on a full bucket and leaves a negative level.
     *
     * @return zero if admitted, otherwise the time in nanoseconds until there are enough tokens
     */
    public synchronized long admit(
            WorkspaceId workspace, TokenQuota quota, long tokens, long nowNanos) {
        Bucket bucket = bucket(workspace, quota);
        refill(bucket, quota, nowNanos);
        double cap = Math.max(1, quota.burstTokens() * mShare);
        double needed = Math.min(tokens, cap);
        if (bucket.mLevel >= needed) {
            bucket.mLevel -= tokens;
            bucket.mAdmittedTokens += tokens;
            mNearLimit |= bucket.mLevel < cap * NEAR_LIMIT_FRACTION;
            return 0;
        }
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

    /**
     * Returns and clears whether a bucket came near its limit since the last call, which the other
     * hosts must learn soon.
     */
    public synchronized boolean pollNearLimit() {
        boolean nearLimit = mNearLimit;
        mNearLimit = false;
        return nearLimit;
    }

    /** Refunds the tokens of a request that did not run. */
    public synchronized void refund(WorkspaceId workspace, long tokens) {
        Bucket bucket = mBuckets.get(workspace);
        if (bucket != null) {
            bucket.mLevel += tokens;
            bucket.mAdmittedTokens -= tokens;
        }
    }

    /** Returns the tokens that this host has admitted for each workspace. */
    public synchronized List<WorkspaceTotal> totals() {
        return mBuckets.entrySet().stream()
                .map(e -> new WorkspaceTotal(e.getKey(), e.getValue().mAdmittedTokens))
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

    /** Drops the reports of a host that has left. */
    public synchronized void removeHost(HostId host) {
        mReports.remove(host);
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
        double cap = quota.burstTokens() * mShare;
        double level = bucket.mLevel + elapsedSeconds * quota.tokensPerSecond() * mShare;
        bucket.mLevel = Math.max(Math.min(level, cap), -quota.burstTokens());
        bucket.mUpdatedNanos = nowNanos;
    }
}
