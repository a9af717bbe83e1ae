package org.fuchsiaford.selection;

import java.util.List;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.serverlimit.ServerRateLimiter;

/**
 * The engines of a pool as far as the limits allow that they name for themselves.
 *
 * <p>Invariant: an engine that names a limit counts as capacity only if all engines of its service
 * do. Thread-safe.
 */
final class LimitedEngines {
    private static final double NANOS_PER_SECOND = 1e9;

    private final EnginePool mPool;
    private final ServerRateLimiter mLimiter;

    LimitedEngines(EnginePool pool, ServerRateLimiter limiter) {
        mPool = pool;
        mLimiter = limiter;
    }

    /** Returns the engines that may be sent a request now. */
    List<LiveServer> availableNow(ServiceId service, long nowNanos) {
        return mLimiter.availableNow(mPool.usable(service, nowNanos), nowNanos);
    }

    /** Takes a permit for each engine of a plan. */
    void acquire(EnginePlan plan, long nowNanos) {
        mLimiter.acquire(plan.decode().run(), nowNanos);
        plan.prefill().ifPresent(engine -> mLimiter.acquire(engine.run(), nowNanos));
    }

    /** Returns the KV cache of the decode engines of a service that count, in tokens. */
    long kvCacheTokens(ServiceId service, long nowNanos) {
        List<LiveServer> engines = decodeEngines(service, nowNanos);
        long unlimited = engines.stream().filter(e -> !mLimiter.isLimited(e.run())).count();
        return (unlimited > 0 ? unlimited : engines.size())
                * mPool.capacity(service).kvCacheTokens();
    }

    /**
     * Returns the time until it is the turn of a request if all decode engines name limits, in
     * nanoseconds; zero if one names none or there is none.
     *
     * @param queuedRequests the requests ahead of it
     */
    long waitNanos(ServiceId service, int queuedRequests, long nowNanos) {
        double perSecond =
                decodeEngines(service, nowNanos).stream()
                        .mapToDouble(engine -> mLimiter.requestsPerSecond(engine.run()))
                        .sum();
        return perSecond > 0 ? (long) ((queuedRequests + 1) / perSecond * NANOS_PER_SECOND) : 0;
    }

    private List<LiveServer> decodeEngines(ServiceId service, long nowNanos) {
        return mPool.usable(service, nowNanos).stream()
                .filter(engine -> engine.hasStage(EngineStage.DECODE))
                .toList();
    }
}
