package org.fuchsiaford.selection;

import java.util.List;
import java.util.function.ToIntFunction;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.RegionMap;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A pool whose declared times of events count for placement only in services with enough engines.
 *
 * <p>Load pattern: with few engines there are one or two for prefill, and prompts that must not be
 * read beside running streams would all wait for these. Thread-safe.
 */
public final class TimedEnginePool implements EnginePool {
    private final EnginePool mPool;
    private final ToIntFunction<ServiceId> mEngineCount;
    private final int mMinEngines;

    /**
     * Creates a pool.
     *
     * @param engineCount the number of registered engines of a service
     * @param minEngines the fewest engines of a service whose declared times count
     */
    public TimedEnginePool(EnginePool pool, ToIntFunction<ServiceId> engineCount, int minEngines) {
        mPool = pool;
        mEngineCount = engineCount;
        mMinEngines = minEngines;
    }

    @Override
    public List<LiveServer> usable(ServiceId service, long nowNanos) {
        return mPool.usable(service, nowNanos);
    }

    @Override
    public EngineCapacity capacity(ServiceId service) {
        EngineCapacity capacity = mPool.capacity(service);
        return mEngineCount.applyAsInt(service) >= mMinEngines
                ? capacity
                : capacity.withoutEventTokens();
    }

    @Override
    public double weight(WorkspaceId workspace) {
        return mPool.weight(workspace);
    }

    @Override
    public RegionMap regions() {
        return mPool.regions();
    }
}
