package org.fuchsiaford.selection;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;

/**
 * Keeps an engine for each request that is next but too large for the free KV cache of every
 * engine, in one pass over a queue. Without it, smaller requests would take the room as it becomes
 * free, or all requests would have to wait for the largest.
 *
 * <p>Invariant: an engine is kept for at most one request. Not thread-safe.
 */
final class EngineRoom {
    /** With more engines kept, those that are left would not carry the smaller requests. */
    private static final double MAX_KEPT_FRACTION = 0.34;

    /**
     * Part of an engine's KV cache from which a request counts as large. All engines together free
     * the room for a smaller one within some tens of milliseconds.
     */
    private static final double LARGE_FRACTION = 0.2;

    private final LoadTracker mLoads;
    private final Set<RequestId> mBlocked = new HashSet<>();
    private final Set<BackendServerId> mKept = new HashSet<>();

    EngineRoom(LoadTracker loads) {
        mLoads = loads;
    }

    /** Leaves a request out of the rest of the pass. */
    void passOver(EngineRequest request) {
        mBlocked.add(request.request());
    }

    /** Returns the requests that an engine is kept for, and those that are passed over. */
    Set<RequestId> blocked() {
        return mBlocked;
    }

    /** Returns the engines that are kept for no request. */
    List<LiveServer> free(List<LiveServer> engines) {
        return mKept.isEmpty()
                ? engines
                : engines.stream().filter(engine -> !mKept.contains(engine.id())).toList();
    }

    /**
     * Keeps the engine that lacks the least room for a request. Returns false if an engine has
     * room, so that the request waits for something else, or no more engines may be kept.
     */
    boolean keepFor(EngineRequest request, List<LiveServer> engines, EngineCapacity capacity) {
        List<LiveServer> decoding =
                engines.stream().filter(engine -> engine.hasStage(EngineStage.DECODE)).toList();
        long tokens = request.tokens().plannedKvTokens();
        if (tokens < capacity.kvCacheTokens() * LARGE_FRACTION
                || mKept.size() >= decoding.size() * MAX_KEPT_FRACTION) {
            return false;
        }
        List<LiveServer> candidates =
                free(decoding).stream()
                        .filter(engine -> !request.failed().contains(engine.id()))
                        .toList();
        Optional<LiveServer> roomiest =
                candidates.stream()
                        .min(
                                Comparator.comparingLong(
                                        engine -> mLoads.total(engine.id()).tokens()));
        if (roomiest.isEmpty() || hasRoom(roomiest.get(), tokens, capacity)) {
            return false;
        }
        mKept.add(roomiest.get().id());
        mBlocked.add(request.request());
        return true;
    }

    private boolean hasRoom(LiveServer engine, long tokens, EngineCapacity capacity) {
        ServerLoad load = mLoads.total(engine.id());
        return load.tokens() + tokens <= capacity.kvCacheTokens();
    }
}
