package org.fuchsiaford.workspace;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.host.SlotId;

/**
 * The token buckets of all workspaces that have a home at the slot held by this host.
 *
 * <p>Invariants: a bucket starts empty, and not before the former holder of the slot is fenced,
 * since the instance is created only then. Until a bundle is accepted, other hosts may still act on
 * the previous one, so each limit is the lower of the two; it is raised only on acceptance.
 * Thread-safe.
 */
public final class HomeBuckets {
    /**
     * How long a host may spend tokens granted by another host, from the time of its request and by
     * its own clock.
     */
    public static final long GRANT_SPEND_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * How long the granting host counts a grant as unspent. 5% longer than {@link
     * #GRANT_SPEND_NANOS}, so that it ends later even if the clocks of the two hosts run at
     * different rates.
     */
    public static final long GRANT_HOLD_NANOS = GRANT_SPEND_NANOS + GRANT_SPEND_NANOS / 20;

    private final SlotId mSlot;
    private final Map<WorkspaceId, HomeBucket> mBuckets = new HashMap<>();

    /** Creates an instance without buckets for a slot. */
    public HomeBuckets(SlotId slot) {
        mSlot = slot;
    }

    /**
     * Applies the limits of a bundle: adds and removes buckets and sets their limits.
     *
     * @param accepted whether the bundle is accepted; if not, limits are only lowered
     */
    public synchronized void apply(BundleIndex index, boolean accepted, long nowNanos) {
        Map<WorkspaceId, BucketLimit> limits = new HashMap<>();
        index.bundle()
                .workspaces()
                .forEach(workspace -> addLimit(limits, workspace, index.homes()));
        mBuckets.keySet().stream()
                .filter(id -> !limits.containsKey(id))
                .toList()
                .forEach(mBuckets::remove);
        limits.forEach((id, limit) -> applyLimit(id, limit, accepted, nowNanos));
    }

    private void addLimit(
            Map<WorkspaceId, BucketLimit> limits, Workspace workspace, HomeSlots homeSlots) {
        List<SlotId> homes = homeSlots.homesOf(workspace);
        if (homes.contains(mSlot)) {
            limits.put(workspace.id(), BucketLimit.of(workspace, homes.size()));
        }
    }

    private void applyLimit(WorkspaceId id, BucketLimit limit, boolean accepted, long nowNanos) {
        HomeBucket bucket =
                mBuckets.computeIfAbsent(id, unused -> new HomeBucket(BucketLimit.NONE, nowNanos));
        bucket.setLimit(accepted ? limit : limit.min(bucket.limit()), nowNanos);
    }

    /**
     * Grants tokens that this host spends immediately.
     *
     * @return the tokens granted, at most those requested; zero if this slot is not a home of the
     *     workspace
     */
    public synchronized long grantLocally(
            WorkspaceId workspace, GrantId id, long requestedTokens, long nowNanos) {
        HomeBucket bucket = mBuckets.get(workspace);
        return bucket == null ? 0 : bucket.grant(id, requestedTokens, nowNanos, nowNanos);
    }

    /**
     * Grants tokens to another host, which spends them within {@link #GRANT_SPEND_NANOS} of its
     * request.
     *
     * @return the tokens granted, at most those requested; zero if this slot is not a home of the
     *     workspace
     */
    public synchronized long grantToHost(
            WorkspaceId workspace, GrantId id, long requestedTokens, long nowNanos) {
        HomeBucket bucket = mBuckets.get(workspace);
        if (bucket == null) {
            return 0;
        }
        return bucket.grant(id, requestedTokens, nowNanos + GRANT_HOLD_NANOS, nowNanos);
    }

    /**
     * Settles a grant; does nothing if the grant is unknown, settled already or expired.
     *
     * @param unusedTokens tokens to refund; negative if more were used than granted
     */
    public synchronized void settle(
            WorkspaceId workspace, GrantId id, long unusedTokens, long nowNanos) {
        HomeBucket bucket = mBuckets.get(workspace);
        if (bucket != null) {
            bucket.settle(id, unusedTokens, nowNanos);
        }
    }

    /**
     * Returns the whole tokens available to a workspace; negative after more were used than
     * granted, zero if this slot is not a home of the workspace.
     */
    public synchronized long levelTokens(WorkspaceId workspace, long nowNanos) {
        HomeBucket bucket = mBuckets.get(workspace);
        return bucket == null ? 0 : bucket.levelTokens(nowNanos);
    }
}
