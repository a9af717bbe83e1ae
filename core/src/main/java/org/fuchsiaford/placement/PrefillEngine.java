package org.fuchsiaford.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.request.RequestId;

/**
 * The scheduler's view of a prefill engine: the requests placed on it and when they should be done.
 *
 * <p>Not thread-safe.
 */
final class PrefillEngine {
    private final EngineSpec mSpec;
    private final int mBlockTokens;
    private final PrefixCacheEstimate mPrefixCache;
    private final EngineHealth mHealth = new EngineHealth();
    private final Map<RequestId, Long> mWorkNanos = new LinkedHashMap<>();
    private long mBusyUntilNanos;
    private boolean mBusy;

    PrefillEngine(EngineSpec spec, int blockTokens) {
        mSpec = spec;
        mBlockTokens = blockTokens;
        mPrefixCache = new PrefixCacheEstimate(spec.blocks());
    }

    EngineSpec spec() {
        return mSpec;
    }

    EngineHealth health() {
        return mHealth;
    }

    PrefixCacheEstimate prefixCache() {
        return mPrefixCache;
    }

    /** Returns the number of prompt tokens that must be computed, which is at least one. */
    int uncachedTokens(PlacementRequest request) {
        int cached = mPrefixCache.cachedBlocks(request.prefixHashes()) * mBlockTokens;
        return Math.max(request.promptTokens() - cached, 1);
    }

    long workNanos(PlacementRequest request) {
        return uncachedTokens(request)
                * TimeUnit.SECONDS.toNanos(1)
                / mSpec.prefillTokensPerSecond();
    }

    /** Returns the estimated time until the work already placed is done, in nanoseconds. */
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
        mPrefixCache.addPrompt(request.prefixHashes());
    }

    /** Removes a request, finished or not, and re-estimates the remaining work from now. */
    void remove(RequestId request, long nowNanos) {
        if (mWorkNanos.remove(request) != null) {
            long remainingNanos = mWorkNanos.values().stream().mapToLong(Long::longValue).sum();
            mBusyUntilNanos = nowNanos + remainingNanos;
            mBusy = !mWorkNanos.isEmpty();
        }
    }
}
