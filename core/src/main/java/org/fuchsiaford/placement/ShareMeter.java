package org.fuchsiaford.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Compares the recent usage of each workspace, an exponentially decaying sum of tokens, with its
 * share by weight among the active workspaces.
 *
 * <p>Not thread-safe.
 */
final class ShareMeter {
    private static final double DECAY_TIME_CONSTANT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double SHARE_TOLERANCE = 1.1;
    private static final double MIN_TRACKED_TOKENS = 1;

    private final Map<WorkspaceId, Usage> mUsages = new HashMap<>();
    private long mLastDecayNanos;

    private static final class Usage {
        private double mTokens;
        private long mWeight;
    }

    /** Adds the tokens of a request that is being placed. */
    void add(PlacementRequest request, long tokens, long nowNanos) {
        decay(nowNanos);
        Usage usage = mUsages.computeIfAbsent(request.workspace(), id -> new Usage());
        usage.mTokens += tokens;
        usage.mWeight = Math.max(request.weight(), 1);
    }

    /** Returns whether the recent usage of a workspace exceeds its share by weight. */
    boolean isOverShare(WorkspaceId workspace, long nowNanos) {
        decay(nowNanos);
        Usage own = mUsages.get(workspace);
        if (own == null || mUsages.size() == 1) {
            return false;
        }
        double tokens = mUsages.values().stream().mapToDouble(usage -> usage.mTokens).sum();
        double weight = mUsages.values().stream().mapToDouble(usage -> usage.mWeight).sum();
        return own.mTokens / tokens > SHARE_TOLERANCE * own.mWeight / weight;
    }

    private void decay(long nowNanos) {
        long elapsedNanos = nowNanos - mLastDecayNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        mLastDecayNanos = nowNanos;
        double factor = Math.exp(-elapsedNanos / DECAY_TIME_CONSTANT_NANOS);
        mUsages.values().forEach(usage -> usage.mTokens *= factor);
        mUsages.values().removeIf(usage -> usage.mTokens < MIN_TRACKED_TOKENS);
    }
}
