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
 * <p>In any window, a workspace may use its rate for the length of the window and its burst. A
 * coordinator counts what it grants to any host and what the hosts report that they were granted
 * elsewhere. A host that reaches no coordinator grants from its own part of the limits. In a
 * network partition, each partition grants only from its share, so that the shares of all
 * partitions add up to the limit.
 *
 * <p>Load pattern: bursts of a few seconds at several times the rate, which the window lets pass
 * where a bucket of the size of the burst would refuse most of them, although the workspace stays
 * inside its limit.
 *
 * <p>Invariant: what a host or its predecessor may have used, without this host knowing, counts as
 * used and becomes free over one window: the parts of hosts whose processes have just started, and
 * the part of this host when it begins to decide by itself. Thread-safe.
 */
public final class FleetQuota {
    /**
     * Share of the limits below which a request must not be admitted on credit: as many hosts may
     * be cut off at once as there are such shares, and each would give one.
     */
    private static final double MIN_SHARE_FOR_CREDIT = 0.25;

    /** Retry delay of a host without a share, which reaches a coordinator again by then. */
    private static final long NO_SHARE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<WorkspaceId, TokenWindow> mWindows = new HashMap<>();
    private final Map<HostId, HostReport> mReports = new HashMap<>();
    private final Map<WorkspaceId, TokenWindow> mOwnWindows = new HashMap<>();
    private final Map<WorkspaceId, Long> mAdmitted = new HashMap<>();
    private final Map<HostId, Map<WorkspaceId, Long>> mGrantedBy = new HashMap<>();
    private final long mWindowNanos;
    private final long mStartNanos;
    private final LimitShare mShare;

    private static final class HostReport {
        private final Map<WorkspaceId, Long> mTotals = new HashMap<>();
        private boolean mReceived;
    }

    /**
     * Creates the quota of a host that has admitted nothing and has no share.
     *
     * @param windowNanos the length of the window in which the limits are counted
     * @param startNanos when the process of the host started
     */
    public FleetQuota(long windowNanos, long startNanos) {
        mWindowNanos = windowNanos;
        mStartNanos = startNanos;
        mShare = new LimitShare(windowNanos);
    }

    /**
     * Sets the share of the limits that this host may grant: none while another host does so for
     * it, otherwise that of the hosts that report to it and its own.
     *
     * @param grantingHosts this host and those that report to it, or zero
     * @param presentHosts the hosts that share the limits
     */
    public synchronized void setShare(int grantingHosts, int presentHosts, long nowNanos) {
        mShare.removeFree(nowNanos);
        if (mShare.share() == 0 && grantingHosts > 0) {
            mShare.addUnknownUse(nowNanos);
        }
        mShare.set(grantingHosts, presentHosts);
    }

    /** Returns the age of this process. */
    public long ageNanos(long nowNanos) {
        return nowNanos - mStartNanos;
    }

    /** Returns whether this host may grant anything. */
    public synchronized boolean hasShare() {
        return mShare.share() > 0;
    }

    /**
     * Admits a request of this host if the limit allows it.
     *
     * @return zero if admitted, otherwise the time in nanoseconds until there are enough tokens
     */
    public synchronized long admit(
            WorkspaceId workspace, TokenQuota quota, long tokens, long nowNanos) {
        long waitNanos = grant(workspace, quota, tokens, nowNanos);
        if (waitNanos == 0) {
            mAdmitted.merge(workspace, tokens, Long::sum);
            ownWindow(workspace).add(tokens, nowNanos);
        }
        return waitNanos;
    }

    /**
     * Grants tokens to a request of another host if the limit allows it. A request larger than the
     * limit is granted if nothing else is in the window, except at a host with a small share.
     *
     * @return zero if granted, otherwise the time in nanoseconds until there are enough tokens
     */
    public synchronized long grant(
            WorkspaceId workspace, TokenQuota quota, long tokens, long nowNanos) {
        if (mShare.share() == 0) {
            return NO_SHARE_RETRY_NANOS;
        }
        TokenWindow window = window(workspace);
        double share = mShare.share();
        double limit = limitTokens(quota) * mShare.free(nowNanos);
        double needed =
                share < MIN_SHARE_FOR_CREDIT
                        ? tokens
                        : Math.min(tokens, limitTokens(quota) * share);
        if (window.sum(nowNanos) + needed <= limit) {
            window.add(tokens, nowNanos);
            return 0;
        }
        return Math.max(
                1,
                window.nanosUntilAtMost(
                        afterNanos ->
                                limitTokens(quota) * mShare.free(nowNanos + afterNanos) - needed,
                        nowNanos));
    }

    private double limitTokens(TokenQuota quota) {
        return quota.tokensPerSecond() * (mWindowNanos / NANOS_PER_SECOND) + quota.burstTokens();
    }

    private TokenWindow window(WorkspaceId workspace) {
        return mWindows.computeIfAbsent(workspace, id -> new TokenWindow(mWindowNanos));
    }

    private TokenWindow ownWindow(WorkspaceId workspace) {
        return mOwnWindows.computeIfAbsent(workspace, id -> new TokenWindow(mWindowNanos));
    }

    /** Describes the state behind a decision: the tokens in the window, and the share. */
    public synchronized String describe(WorkspaceId workspace, long nowNanos) {
        return String.format(
                Locale.ROOT,
                "%d tokens in the window, share %.2f of %.2f free",
                window(workspace).sum(nowNanos),
                mShare.free(nowNanos),
                mShare.share());
    }

    /** Refunds the tokens of a request of this host that did not run. */
    public synchronized void refund(WorkspaceId workspace, long tokens, long nowNanos) {
        refundGrant(workspace, tokens, nowNanos);
        ownWindow(workspace).add(-tokens, nowNanos);
        mAdmitted.merge(workspace, -tokens, Long::sum);
    }

    /** Takes back tokens that were granted to a request of another host. */
    public synchronized void refundGrant(WorkspaceId workspace, long tokens, long nowNanos) {
        window(workspace).add(-tokens, nowNanos);
    }

    /**
     * Records tokens that a coordinator has granted to this host.
     *
     * @param tokens the tokens, negative if they were refunded
     */
    public synchronized void recordGranted(
            HostId coordinator, WorkspaceId workspace, long tokens, long nowNanos) {
        ownWindow(workspace).add(tokens, nowNanos);
        mGrantedBy
                .computeIfAbsent(coordinator, id -> new HashMap<>())
                .merge(workspace, tokens, Long::sum);
    }

    /** Returns the tokens that this host has admitted for each workspace. */
    public List<WorkspaceTotal> totals(long nowNanos) {
        return totalsExcept(null, nowNanos);
    }

    /**
     * Returns the tokens that this host has admitted for each workspace, without those granted by a
     * coordinator, which knows of them.
     */
    public synchronized List<WorkspaceTotal> totalsExcept(HostId coordinator, long nowNanos) {
        Map<WorkspaceId, Long> totals = new HashMap<>(mAdmitted);
        mGrantedBy.forEach(
                (grantor, granted) -> {
                    if (!grantor.equals(coordinator)) {
                        granted.forEach((w, tokens) -> totals.merge(w, tokens, Long::sum));
                    }
                });
        return totals.entrySet().stream()
                .map(
                        e ->
                                new WorkspaceTotal(
                                        e.getKey(),
                                        e.getValue(),
                                        ownWindow(e.getKey()).sum(nowNanos)))
                .toList();
    }

    /**
     * Counts what another host has admitted since its last report, or in the last window if this is
     * the first. What the predecessor of a process that has just started had admitted is not known.
     *
     * @param ageNanos the age of the process of the other host
     */
    public synchronized void mergeReport(
            HostId host, List<WorkspaceTotal> totals, long ageNanos, long nowNanos) {
        HostReport report = mReports.computeIfAbsent(host, h -> new HostReport());
        if (!report.mReceived && ageNanos < mWindowNanos) {
            mShare.addUnknownUse(nowNanos - ageNanos);
        }
        totals.forEach(total -> merge(report, total, nowNanos));
        report.mReceived = true;
    }

    private void merge(HostReport report, WorkspaceTotal total, long nowNanos) {
        Long last = report.mTotals.put(total.workspace(), total.tokens());
        long admitted =
                report.mReceived
                        ? total.tokens() - (last == null ? 0 : last)
                        : total.recentTokens();
        window(total.workspace()).add(admitted, nowNanos);
    }

    /** Drops the reports of a host that has left; what it granted stays in the totals. */
    public synchronized void removeHost(HostId host) {
        mReports.remove(host);
        Map<WorkspaceId, Long> granted = mGrantedBy.remove(host);
        if (granted != null) {
            granted.forEach((w, tokens) -> mAdmitted.merge(w, tokens, Long::sum));
        }
    }
}
