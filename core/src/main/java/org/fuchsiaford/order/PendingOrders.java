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
import org.fuchsiaford.selection.LoadBoard;

/**
 * Orders that may still be carried out.
 *
 * <p>An engine that has accepted an order takes nothing new until it has changed, and its entry in
 * the registry does not say so; it counts as full meanwhile, at this host and, through the reports
 * of loads, at all others. Invariant: each engine is counted as full at most once, and no longer
 * than its order may take. Thread-safe.
 */
public final class PendingOrders {
    private final LoadBoard mLoads;
    private final Runnable mLoadsChanged;
    private final Map<BackendServerId, Pending> mPending = new HashMap<>();
    private final Map<BackendServerId, ServerLoad> mFull = new HashMap<>();

    private record Pending(StageOrder order, long untilNanos) {}

    /**
     * Creates a list without orders.
     *
     * @param loadsChanged told whenever an engine begins to count as full; must not wait
     */
    public PendingOrders(LoadBoard loads, Runnable loadsChanged) {
        mLoads = loads;
        mLoadsChanged = loadsChanged;
    }

    /** Notes an order that may be carried out until a time. */
    public synchronized void add(StageOrder order, long untilNanos) {
        mPending.put(order.engine().id(), new Pending(order, untilNanos));
    }

    /** Notes that an engine has accepted its order, and so takes nothing until it has changed. */
    public synchronized void accept(StageOrder order, EngineCapacity capacity) {
        BackendServerId id = order.engine().id();
        ServerLoad full =
                new ServerLoad(
                        id,
                        capacity.maxConcurrentRequests(),
                        capacity.kvCacheTokens(),
                        capacity.kvCacheTokens());
        if (mFull.putIfAbsent(id, full) == null) {
            mLoads.add(full);
            mLoadsChanged.run();
        }
    }

    /**
     * Forgets orders whose time is over or which were accepted and carried out, and frees engines
     * that have changed or are gone.
     */
    public synchronized void refresh(List<LiveServer> engines, long nowNanos) {
        mPending.values().removeIf(pending -> nowNanos - pending.untilNanos() >= 0);
        engines.stream().filter(this::hasChanged).map(LiveServer::id).forEach(mPending::remove);
        Set<BackendServerId> known =
                engines.stream().map(LiveServer::id).collect(Collectors.toUnmodifiableSet());
        Set.copyOf(mFull.keySet()).stream()
                .filter(id -> !mPending.containsKey(id) || !known.contains(id))
                .forEach(id -> mLoads.remove(mFull.remove(id)));
    }

    private boolean hasChanged(LiveServer engine) {
        Pending pending = mPending.get(engine.id());
        return pending != null
                && mFull.containsKey(engine.id())
                && engine.isStage(pending.order().stage());
    }

    /** Returns the part of the decode engines' memory that is planned for requests, from 0. */
    public double usedShare(List<LiveServer> engines, EngineCapacity capacity) {
        List<LiveServer> decoding =
                engines.stream().filter(engine -> engine.isStage(EngineStage.DECODE)).toList();
        long tokens = decoding.stream().mapToLong(e -> mLoads.total(e.id()).tokens()).sum();
        return (double) tokens / Math.max(1, decoding.size() * capacity.kvCacheTokens());
    }

    /** Returns the engines with orders that may still be carried out. */
    public synchronized Set<BackendServerId> engines() {
        return Set.copyOf(mPending.keySet());
    }

    /** Returns how many engines count as full. */
    public synchronized int fullCount() {
        return mFull.size();
    }
}
