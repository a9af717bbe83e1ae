package org.fuchsiaford.entry.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.BucketLimit;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Estimates the levels of the buckets at other home slots from their last responses and the tokens
 * accrued since. Used only to decide which home slot to ask first: a bucket that overflows while
 * another one is drained loses tokens that the workspace is entitled to.
 *
 * <p>Thread-safe.
 */
final class BucketLevelEstimates {
    private final Map<Bucket, KnownLevel> mLevels = new ConcurrentHashMap<>();

    private record Bucket(WorkspaceId workspace, SlotId home) {}

    private record KnownLevel(long levelTokens, long atNanos) {}

    void record(WorkspaceId workspace, SlotId home, long levelTokens, long nowNanos) {
        mLevels.put(new Bucket(workspace, home), new KnownLevel(levelTokens, nowNanos));
    }

    /** Returns the estimated level in tokens; a bucket without a recorded level counts as full. */
    double levelTokens(Workspace workspace, SlotId home, int homes, long nowNanos) {
        double capacity = (double) workspace.burstTokens() / homes;
        KnownLevel known = mLevels.get(new Bucket(workspace.id(), home));
        if (known == null) {
            return capacity;
        }
        BucketLimit limit = BucketLimit.of(workspace, homes);
        double accrued = limit.accruedNanotokens(nowNanos - known.atNanos()) / 1e9;
        return Math.min(known.levelTokens() + accrued, capacity);
    }
}
