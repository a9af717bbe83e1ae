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
 * Applies the workspaces' limits over all hosts together.
 *
 * <p>Each host keeps one bucket a workspace for the whole fleet: it subtracts what it admits itself
 * and what the others report. Hosts that do not hear each other accrue only their part, so that the
 * parts of all islands add up to the rate.
 *
 * <p>Invariant: a bucket accrues at most the reachable share of rate and burst. What others
 * admitted while they were out of touch was accrued by their own share and is not subtracted again.
 * Thread-safe.
 */
public final class FleetQuota {
    /** Part of the burst that a new host starts with; peers may just have spent the rest. */
    private static final double FIRST_LEVEL_SHARE = 0.125;

    /** Part of the burst below which the other hosts must learn of each admission soon. */
    private static final double PRESSED_SHARE = 0.5;

    /** Silence after which the other host counts as out of touch: several report intervals. */
    public static final long HOST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<WorkspaceId, Bucket> mBuckets = new HashMap<>();
    private final Map<HostId, Reported> mReported = new HashMap<>();
    private final long mStartNanos;
    private double mShare = 1;
    private boolean mPressed;

    private static final class Bucket {
        private double mLevel;
        private long mUpdatedNanos;
        private long mAdmittedTokens;
    }

    private static final class Reported {
        private final Map<WorkspaceId, Long> mTotals = new HashMap<>();
        private long mHeardNanos;
        private boolean mHeard;
    }

    /**
     * Creates limits of a host that has admitted nothing.
     *
     * @param startNanos when the host started; what accrued since then may be used
     */
    public FleetQuota(long startNanos) {
        mStartNanos = startNanos;
    }

    /**
     * Sets the part of rate and burst that this host and the hosts it hears may use together.
     *
     * @param share more than 0, at most 1
     */
    public synchronized void setShare(double share) {
        mShare = share;
    }

    /**
     * Admits a request or says when it could be.
     *
     * @return zero if admitted, else the wait in nanoseconds until there are enough tokens
     */
    public synchronized long admit(
            WorkspaceId workspace, TokenQuota quota, long tokens, long nowNanos) {
        Bucket bucket = bucket(workspace, quota);
        accrue(bucket, quota, nowNanos);
        double cap = Math.max(1, quota.burstTokens() * mShare);
        double needed = Math.min(tokens, cap);
        if (bucket.mLevel >= needed) {
            bucket.mLevel -= tokens;
            bucket.mAdmittedTokens += tokens;
            mPressed |= bucket.mLevel < cap * PRESSED_SHARE;
            return 0;
        }
        double perNano = quota.tokensPerSecond() * mShare / NANOS_PER_SECOND;
        return Math.max(1, (long) ((needed - bucket.mLevel) / perNano));
    }

    /**
     * Says what a decision on a workspace rests on: its level in tokens, and this island's part.
     */
    public synchronized String describe(WorkspaceId workspace) {
        Bucket bucket = mBuckets.get(workspace);
        double level = bucket == null ? 0 : bucket.mLevel;
        return String.format(Locale.ROOT, "level %.0f tokens, share %.2f", level, mShare);
    }

    /** Returns whether a limit has come near since the last call, so that others must know soon. */
    public synchronized boolean pollNearLimit() {
        boolean pressed = mPressed;
        mPressed = false;
        return pressed;
    }

    /** Gives back the tokens of a request that did not run. */
    public synchronized void refund(WorkspaceId workspace, long tokens) {
        Bucket bucket = mBuckets.get(workspace);
        if (bucket != null) {
            bucket.mLevel += tokens;
            bucket.mAdmittedTokens -= tokens;
        }
    }

    /** Returns what this host has admitted of each workspace. */
    public synchronized List<WorkspaceTotal> totals() {
        return mBuckets.entrySet().stream()
                .map(e -> new WorkspaceTotal(e.getKey(), e.getValue().mAdmittedTokens))
                .toList();
    }

    /** Subtracts what another host has admitted since its last report. */
    public synchronized void mergeReport(HostId host, List<WorkspaceTotal> totals, long nowNanos) {
        Reported reported = mReported.computeIfAbsent(host, h -> new Reported());
        boolean inTouch = reported.mHeard && nowNanos - reported.mHeardNanos <= HOST_TIMEOUT_NANOS;
        totals.forEach(total -> merge(reported, total, inTouch));
        reported.mHeard = true;
        reported.mHeardNanos = nowNanos;
    }

    private void merge(Reported reported, WorkspaceTotal total, boolean inTouch) {
        Long last = reported.mTotals.put(total.workspace(), total.tokens());
        Bucket bucket = mBuckets.get(total.workspace());
        if (bucket != null && inTouch) {
            bucket.mLevel -= total.tokens() - (last == null ? 0 : last);
        }
    }

    /** Forgets a host that is gone. */
    public synchronized void removeHost(HostId host) {
        mReported.remove(host);
    }

    private Bucket bucket(WorkspaceId workspace, TokenQuota quota) {
        return mBuckets.computeIfAbsent(
                workspace,
                id -> {
                    Bucket fresh = new Bucket();
                    fresh.mLevel = quota.burstTokens() * mShare * FIRST_LEVEL_SHARE;
                    fresh.mUpdatedNanos = mStartNanos;
                    return fresh;
                });
    }

    private void accrue(Bucket bucket, TokenQuota quota, long nowNanos) {
        double elapsedSeconds = (nowNanos - bucket.mUpdatedNanos) / NANOS_PER_SECOND;
        double cap = quota.burstTokens() * mShare;
        double level = bucket.mLevel + elapsedSeconds * quota.tokensPerSecond() * mShare;
        bucket.mLevel = Math.max(Math.min(level, cap), -quota.burstTokens());
        bucket.mUpdatedNanos = nowNanos;
    }
}
