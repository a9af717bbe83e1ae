package org.fuchsiaford.order;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.selection.LoadTracker;

/**
 * Stage orders that may still be carried out.
 *
 * <p>An engine that has accepted an order accepts no new requests until its stage has changed, but
 * its entry in the registry does not show this. Meanwhile it counts as full, on this host and,
 * through the load reports, on all others. Invariant: each engine counts as full at most once, and
 * only while its order may still be carried out. Thread-safe.
 */
public final class PendingOrders {
    private final LoadTracker mLoads;
    private final Runnable mLoadsChanged;
    private final Map<BackendServerId, Pending> mPending = new HashMap<>();
    private final Map<BackendServerId, ServerLoad> mFullLoads = new HashMap<>();

    private record Pending(StageOrder order, long untilNanos) {}

    /**
     * Creates an empty set of orders.
     *
     * @param loadsChanged called when an engine starts to count as full; must not block
     */
    public PendingOrders(LoadTracker loads, Runnable loadsChanged) {
        mLoads = loads;
        mLoadsChanged = loadsChanged;
    }

    /** Adds an order that may be carried out until the given time. */
    public synchronized void add(StageOrder order, long untilNanos) {
        mPending.put(order.engine().id(), new Pending(order, untilNanos));
    }

    /** Records that an engine accepted its order; it counts as full until its stage changes. */
    public synchronized void recordAccepted(StageOrder order, EngineCapacity capacity) {
        BackendServerId id = order.engine().id();
        ServerLoad fullLoad =
                new ServerLoad(
                        id,
                        capacity.maxConcurrentRequests(),
                        capacity.kvCacheTokens(),
                        capacity.kvCacheTokens());
        if (mFullLoads.putIfAbsent(id, fullLoad) == null) {
            mLoads.add(fullLoad);
            mLoadsChanged.run();
        }
    }

    /**
     * Removes orders that have expired or were accepted and carried out. Engines without a pending
     * order, or no longer registered, stop counting as full.
     *
     * @param engines the registered engines
     */
    public synchronized void refresh(List<LiveServer> engines, long nowNanos) {
        mPending.values().removeIf(pending -> nowNanos - pending.untilNanos() >= 0);
        engines.stream().filter(this::hasChanged).map(LiveServer::id).forEach(mPending::remove);
        Set<BackendServerId> registered =
                engines.stream().map(LiveServer::id).collect(Collectors.toUnmodifiableSet());
        Set.copyOf(mFullLoads.keySet()).stream()
                .filter(id -> !mPending.containsKey(id) || !registered.contains(id))
                .forEach(id -> mLoads.remove(mFullLoads.remove(id)));
    }

    private boolean hasChanged(LiveServer engine) {
        Pending pending = mPending.get(engine.id());
        return pending != null
                && mFullLoads.containsKey(engine.id())
                && engine.hasStage(pending.order().stage());
    }

    /**
     * Returns the fraction of the decode engines' KV cache that is planned for requests; can exceed
     * 1.
     */
    public double usedKvCacheFraction(List<LiveServer> engines, EngineCapacity capacity) {
        List<LiveServer> decodeEngines =
                engines.stream().filter(engine -> engine.hasStage(EngineStage.DECODE)).toList();
        long tokens = decodeEngines.stream().mapToLong(e -> mLoads.total(e.id()).tokens()).sum();
        return (double) tokens / Math.max(1, decodeEngines.size() * capacity.kvCacheTokens());
    }

    /** Returns the engines that have a pending order. */
    public synchronized Set<BackendServerId> engines() {
        return Set.copyOf(mPending.keySet());
    }

    /** Returns the number of engines that count as full because of an order. */
    public synchronized int fullEngineCount() {
        return mFullLoads.size();
    }
}
