package org.fuchsiaford.workspace;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.host.SlotId;

/**
 * The buckets of all workspaces that have a home at the slot this host holds.
 *
 * <p>Invariants: a bucket starts empty, and no earlier than when the slot's former holder is
 * fenced, since the ledger is made then. While a bundle is not accepted, other hosts may still act
 * on the one before, so each share is the lesser of both; it is raised only on acceptance.
 * Thread-safe.
 */
public final class HomeBuckets {
    /** How long a host may spend a grant of another host, by its own clock, from when it asked. */
    public static final long GRANT_SPEND_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** How long the giver counts a grant as unspent: longer than the spender has, by any clock. */
    public static final long GRANT_HOLD_NANOS = GRANT_SPEND_NANOS + GRANT_SPEND_NANOS / 20;

    private final SlotId mSlot;
    private final Map<WorkspaceId, HomeBucket> mBuckets = new HashMap<>();

    /** Creates a ledger for a slot without any bucket. */
    public HomeBuckets(SlotId slot) {
        mSlot = slot;
    }

    /** Takes over the limits of a bundle. */
    public synchronized void apply(BundleIndex index, boolean accepted, long nowNanos) {
        Map<WorkspaceId, BucketLimit> shares = new HashMap<>();
        index.bundle().workspaces().forEach(w -> addShare(shares, w, index.homes()));
        mBuckets.keySet().stream()
                .filter(id -> !shares.containsKey(id))
                .toList()
                .forEach(mBuckets::remove);
        shares.forEach((id, share) -> applyShare(id, share, accepted, nowNanos));
    }

    private void addShare(Map<WorkspaceId, BucketLimit> shares, Workspace w, HomeSlots homeSlots) {
        List<SlotId> homes = homeSlots.homesOf(w);
        if (homes.contains(mSlot)) {
            shares.put(w.id(), BucketLimit.of(w, homes.size()));
        }
    }

    private void applyShare(WorkspaceId id, BucketLimit share, boolean accepted, long nowNanos) {
        HomeBucket bucket =
                mBuckets.computeIfAbsent(id, unused -> new HomeBucket(BucketLimit.NONE, nowNanos));
        bucket.setLimit(accepted ? share : share.min(bucket.limit()), nowNanos);
    }

    /**
     * Gives tokens that are spent at once on this host.
     *
     * @return the tokens given, at most those wanted; zero if this slot is no home
     */
    public synchronized long grantLocally(
            WorkspaceId workspace, GrantId id, long wantedTokens, long nowNanos) {
        HomeBucket bucket = mBuckets.get(workspace);
        return bucket == null ? 0 : bucket.grant(id, wantedTokens, nowNanos, nowNanos);
    }

    /**
     * Gives tokens to another host, which spends them within {@link #GRANT_SPEND_NANOS} of asking.
     *
     * @return the tokens given, at most those wanted; zero if this slot is no home
     */
    public synchronized long grantToHost(
            WorkspaceId workspace, GrantId id, long wantedTokens, long nowNanos) {
        HomeBucket bucket = mBuckets.get(workspace);
        if (bucket == null) {
            return 0;
        }
        return bucket.grant(id, wantedTokens, nowNanos + GRANT_HOLD_NANOS, nowNanos);
    }

    /**
     * Ends a grant.
     *
     * @param unusedTokens tokens given back; negative if more was used than granted
     */
    public synchronized void settle(
            WorkspaceId workspace, GrantId id, long unusedTokens, long nowNanos) {
        HomeBucket bucket = mBuckets.get(workspace);
        if (bucket != null) {
            bucket.settle(id, unusedTokens, nowNanos);
        }
    }

    /** Returns the whole tokens at hand for a workspace; zero if this slot is no home. */
    public synchronized long levelTokens(WorkspaceId workspace, long nowNanos) {
        HomeBucket bucket = mBuckets.get(workspace);
        return bucket == null ? 0 : bucket.levelTokens(nowNanos);
    }
}
