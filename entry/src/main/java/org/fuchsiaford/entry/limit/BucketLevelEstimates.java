package org.fuchsiaford.entry.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.BucketLimit;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * What the buckets of other home slots held when they last answered, with what they have accrued
 * since. Only for choosing whom to ask first: a bucket that runs over while another is drained
 * loses tokens that the workspace is entitled to.
 *
 * <p>Thread-safe.
 */
final class BucketLevelEstimates {
    private final Map<Bucket, Hint> mHints = new ConcurrentHashMap<>();

    private record Bucket(WorkspaceId workspace, SlotId home) {}

    private record Hint(long levelTokens, long atNanos) {}

    void record(WorkspaceId workspace, SlotId home, long levelTokens, long nowNanos) {
        mHints.put(new Bucket(workspace, home), new Hint(levelTokens, nowNanos));
    }

    /** Returns the likely level in tokens; a bucket never heard of counts as full. */
    double levelTokens(Workspace workspace, SlotId home, int homes, long nowNanos) {
        double capacity = (double) workspace.burstTokens() / homes;
        Hint hint = mHints.get(new Bucket(workspace.id(), home));
        if (hint == null) {
            return capacity;
        }
        BucketLimit share = BucketLimit.of(workspace, homes);
        double accrued = share.accruedNanotokens(nowNanos - hint.atNanos()) / 1e9;
        return Math.min(hint.levelTokens() + accrued, capacity);
    }
}
