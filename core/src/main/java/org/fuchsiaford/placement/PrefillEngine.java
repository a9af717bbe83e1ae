package org.fuchsiaford.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.request.RequestId;

/**
 * A keeper's view of an engine that prefills: what was placed there and when it should be done.
 *
 * <p>Not thread-safe.
 */
final class PrefillEngine {
    private final EngineSpec mSpec;
    private final int mPieceTokens;
    private final PrefixEstimate mPrefixes;
    private final EngineHealth mHealth = new EngineHealth();
    private final Map<RequestId, Long> mWorkNanos = new LinkedHashMap<>();
    private long mBusyUntilNanos;
    private boolean mBusy;

    PrefillEngine(EngineSpec spec, int pieceTokens) {
        mSpec = spec;
        mPieceTokens = pieceTokens;
        mPrefixes = new PrefixEstimate(spec.blocks());
    }

    EngineSpec spec() {
        return mSpec;
    }

    EngineHealth health() {
        return mHealth;
    }

    PrefixEstimate prefixes() {
        return mPrefixes;
    }

    /** Returns the tokens of a prompt that must be computed; at least one piece always is. */
    int uncachedTokens(PlacementRequest request) {
        int cached = mPrefixes.cachedPieces(request.prefixHashes()) * mPieceTokens;
        return Math.max(request.promptTokens() - cached, 1);
    }

    long workNanos(PlacementRequest request) {
        return uncachedTokens(request)
                * TimeUnit.SECONDS.toNanos(1)
                / mSpec.prefillTokensPerSecond();
    }

    /** Returns the time until the work placed before should be done, in nanoseconds. */
    long backlogNanos(long nowNanos) {
        return mBusy ? Math.max(mBusyUntilNanos - nowNanos, 0) : 0;
    }

    boolean isIdle() {
        return mWorkNanos.isEmpty();
    }

    void place(PlacementRequest request, long nowNanos) {
        long workNanos = workNanos(request);
        mBusyUntilNanos = nowNanos + backlogNanos(nowNanos) + workNanos;
        mBusy = true;
        mWorkNanos.put(request.request(), workNanos);
        mPrefixes.use(request.prefixHashes());
    }

    /** Takes a request off, finished or not; what is left is estimated anew from now. */
    void remove(RequestId request, long nowNanos) {
        if (mWorkNanos.remove(request) != null) {
            long leftNanos = mWorkNanos.values().stream().mapToLong(Long::longValue).sum();
            mBusyUntilNanos = nowNanos + leftNanos;
            mBusy = !mWorkNanos.isEmpty();
        }
    }
}
