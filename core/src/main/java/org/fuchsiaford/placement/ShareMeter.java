package org.fuchsiaford.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Measures how much of a pool each workspace has used lately, by an exponentially decaying sum of
 * tokens, against its weight among the workspaces that are active.
 *
 * <p>Not thread-safe.
 */
final class ShareMeter {
    private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double TOLERANCE = 1.1;
    private static final double FORGET_TOKENS = 1;

    private final Map<WorkspaceId, Use> mUses = new HashMap<>();
    private long mDecayedNanos;

    private static final class Use {
        private double mTokens;
        private long mWeight;
    }

    /** Adds the tokens of a request that is being served. */
    void add(PlacementRequest request, long tokens, long nowNanos) {
        decay(nowNanos);
        Use use = mUses.computeIfAbsent(request.workspace(), id -> new Use());
        use.mTokens += tokens;
        use.mWeight = Math.max(request.weight(), 1);
    }

    /** Returns whether a workspace has used more than its weight entitles it to. */
    boolean isOverShare(WorkspaceId workspace, long nowNanos) {
        decay(nowNanos);
        Use own = mUses.get(workspace);
        if (own == null || mUses.size() == 1) {
            return false;
        }
        double tokens = mUses.values().stream().mapToDouble(use -> use.mTokens).sum();
        double weight = mUses.values().stream().mapToDouble(use -> use.mWeight).sum();
        return own.mTokens / tokens > TOLERANCE * own.mWeight / weight;
    }

    private void decay(long nowNanos) {
        long elapsedNanos = nowNanos - mDecayedNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        mDecayedNanos = nowNanos;
        double factor = Math.exp(-elapsedNanos / DECAY_NANOS);
        mUses.values().forEach(use -> use.mTokens *= factor);
        mUses.values().removeIf(use -> use.mTokens < FORGET_TOKENS);
    }
}
