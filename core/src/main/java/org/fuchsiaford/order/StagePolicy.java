package org.fuchsiaford.order;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;

/**
 * Decides which engines of a service run prefill and which run decode.
 *
 * <p>Load pattern: an answer holds KV cache for seconds, a prompt occupies an engine for a tenth of
 * a second, and decode engines can prefill prompts as well. KV cache for answers therefore runs out
 * first, and only a small fraction of the engines is kept for prefill. Without any prefill engine,
 * however, decode engines prefill every prompt at half the speed between the decode steps of their
 * streams, which then hold KV cache for longer: four decode engines start 8 typical requests per
 * second, three decode engines and one prefill engine start 9.
 *
 * <p>Orders from prefill to decode stop at one prefill engine per six engines. An order from decode
 * to prefill is issued only if the service has no prefill engine and its KV cache is not in demand,
 * since the engine is unavailable until its streams have ended and its stage has changed. Orders
 * therefore cannot oscillate. Stateless, hence thread-safe.
 */
public final class StagePolicy {
    /** Engines per prefill engine; decode engines prefill the remaining prompts. */
    private static final int ENGINES_PER_PREFILL = 6;

    /** With fewer engines no orders are issued: an engine is unavailable for seconds to switch. */
    private static final int MIN_ENGINES = 4;

    /** Highest fraction of KV cache in use at which a decode engine may be switched to prefill. */
    private static final double MAX_USED_KV_CACHE_FRACTION = 0.5;

    private StagePolicy() {}

    /**
     * Returns the next order for the engines of a service, if any.
     *
     * @param engines the engines that accept new requests
     * @param pending the engines that have a pending order
     * @param usedKvCacheFraction fraction of the decode engines' KV cache that is in use
     */
    public static Optional<StageOrder> next(
            List<LiveServer> engines, Set<BackendServerId> pending, double usedKvCacheFraction) {
        if (engines.size() < MIN_ENGINES) {
            return Optional.empty();
        }
        List<LiveServer> prefill = withoutOrder(engines, EngineStage.PREFILL, pending);
        if (prefill.isEmpty()) {
            return !pending.isEmpty() || usedKvCacheFraction > MAX_USED_KV_CACHE_FRACTION
                    ? Optional.empty()
                    : orderLast(
                            withoutOrder(engines, EngineStage.DECODE, pending),
                            EngineStage.PREFILL);
        }
        int wantedPrefill = Math.max(1, engines.size() / ENGINES_PER_PREFILL);
        return prefill.size() > wantedPrefill
                ? orderLast(prefill, EngineStage.DECODE)
                : Optional.empty();
    }

    private static List<LiveServer> withoutOrder(
            List<LiveServer> engines, EngineStage stage, Set<BackendServerId> pending) {
        return engines.stream()
                .filter(engine -> engine.hasStage(stage) && !pending.contains(engine.id()))
                .sorted(Comparator.comparing(LiveServer::id))
                .toList();
    }

    /** Orders the last engine, so that hosts with the same engines choose the same order. */
    private static Optional<StageOrder> orderLast(List<LiveServer> engines, EngineStage stage) {
        return engines.isEmpty()
                ? Optional.empty()
                : Optional.of(new StageOrder(engines.get(engines.size() - 1), stage));
    }
}
