package org.fuchsiaford.selection;

import java.util.List;
import java.util.Optional;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.AllowedRegions;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.stream.ServedVersions;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The engines of a pool that may be sent requests: those whose software version is recorded, as far
 * as their limits allow.
 *
 * <p>Invariant: an engine that is limited counts as capacity only if all engines of its service
 * are. Thread-safe.
 */
final class AvailableEngines {
    private static final double NANOS_PER_SECOND = 1e9;

    private final EnginePool mPool;
    private final ServedVersions mVersions;
    private final ServerRateLimiter mLimiter;

    AvailableEngines(EnginePool pool, ServedVersions versions, ServerRateLimiter limiter) {
        mPool = pool;
        mVersions = versions;
        mLimiter = limiter;
    }

    /** Returns the engines that may be sent a request now. */
    List<LiveServer> availableNow(ServiceId service, long nowNanos) {
        return mLimiter.availableNow(admitted(service, nowNanos), nowNanos);
    }

    /** Returns those of the engines that are not cold. */
    List<LiveServer> warm(List<LiveServer> engines, long nowNanos) {
        return mLimiter.withoutStrictLimit(engines, nowNanos);
    }

    private List<LiveServer> admitted(ServiceId service, long nowNanos) {
        return mVersions.admitted(service, mPool.usable(service, nowNanos));
    }

    /** Returns the weight of the workspace of a request, if it has one. */
    double weight(Optional<WorkspaceId> workspace) {
        return workspace.map(mPool::weight).orElse(1.0);
    }

    /** Takes a permit for each engine of a plan. */
    void acquire(EnginePlan plan, long nowNanos) {
        mLimiter.acquire(plan.decode().run(), nowNanos);
        plan.prefill().ifPresent(engine -> mLimiter.acquire(engine.run(), nowNanos));
    }

    /** Returns whether any engine could ever serve a request. */
    boolean canServe(EngineRequest request, long nowNanos) {
        List<LiveServer> engines =
                request.version().isEmpty()
                        ? mPool.usable(request.service(), nowNanos)
                        : decodeEngines(request.service(), request.version(), nowNanos);
        return !admitted(engines, request).isEmpty();
    }

    /** Returns the engines in the regions that are allowed for a request. */
    List<LiveServer> admitted(List<LiveServer> engines, EngineRequest request) {
        return mPool.regions()
                .admitted(engines, AllowedRegions.of(request.attributes().allowedRegions()));
    }

    /**
     * Returns the KV cache of the decode engines of a service that count, in tokens.
     *
     * @param version the only software version that counts; empty for all
     */
    long kvCacheTokens(ServiceId service, Optional<SoftwareVersion> version, long nowNanos) {
        List<LiveServer> engines = decodeEngines(service, version, nowNanos);
        long unlimited =
                engines.stream().filter(e -> !mLimiter.isLimited(e.run(), nowNanos)).count();
        return (unlimited > 0 ? unlimited : engines.size())
                * mPool.capacity(service).kvCacheTokens();
    }

    /**
     * Returns the time until it is the turn of a request if all decode engines are limited, in
     * nanoseconds; zero if one is not or there is none.
     *
     * @param queuedRequests the requests ahead of it
     */
    long waitNanos(
            ServiceId service,
            Optional<SoftwareVersion> version,
            int queuedRequests,
            long nowNanos) {
        double perSecond =
                decodeEngines(service, version, nowNanos).stream()
                        .mapToDouble(engine -> mLimiter.requestsPerSecond(engine.run(), nowNanos))
                        .sum();
        return perSecond > 0 ? (long) ((queuedRequests + 1) / perSecond * NANOS_PER_SECOND) : 0;
    }

    private List<LiveServer> decodeEngines(
            ServiceId service, Optional<SoftwareVersion> version, long nowNanos) {
        return admitted(service, nowNanos).stream()
                .filter(engine -> engine.hasStage(EngineStage.DECODE))
                .filter(engine -> version.isEmpty() || engine.version().equals(version.get()))
                .toList();
    }
}
