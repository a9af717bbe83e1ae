package org.fuchsiaford.order;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;

/**
 * Decides which engines of a service read prompts and which produce tokens.
 *
 * <p>Load pattern: answers hold memory for seconds, prompts an engine for a tenth of one, and
 * decode engines can read prompts as well. So memory for answers runs out first, and only a small
 * part of the engines is kept for prompts. Without any prefill engine, though, decode engines read
 * every prompt at half the speed between the tokens of their streams, which then hold their memory
 * for longer: four decode engines start 8 usual requests a second, three and a prefill engine 9.
 *
 * <p>Orders from prefill to decode end with one prefill engine for six; only a service that has
 * none gets one back, and not while its memory is in demand: the engine is away for the rest of its
 * streams and the change itself. So orders never flap. Stateless, hence thread-safe.
 */
public final class StagePolicy {
    /** One prefill engine for so many engines; the rest of the prompts is read while decoding. */
    private static final int ENGINES_PER_PREFILL = 6;

    /** Fewer engines are left as they are: one that changes its part is away for seconds. */
    private static final int FEWEST_ENGINES = 4;

    /** Part of the decode engines' memory that may be in use when one of them is taken away. */
    private static final double CALM_SHARE = 0.5;

    private StagePolicy() {}

    /**
     * Returns the next order for the engines of a service.
     *
     * @param engines the engines that take new work
     * @param pending engines with an order that may still be carried out
     * @param usedMemoryFraction part of the decode engines' memory that is in use
     */
    public static Optional<StageOrder> next(
            List<LiveServer> engines, Set<BackendServerId> pending, double usedMemoryFraction) {
        if (engines.size() < FEWEST_ENGINES) {
            return Optional.empty();
        }
        List<LiveServer> prefill = free(engines, EngineStage.PREFILL, pending);
        if (prefill.isEmpty()) {
            return !pending.isEmpty() || usedMemoryFraction > CALM_SHARE
                    ? Optional.empty()
                    : order(free(engines, EngineStage.DECODE, pending), EngineStage.PREFILL);
        }
        int wanted = Math.max(1, engines.size() / ENGINES_PER_PREFILL);
        return prefill.size() > wanted ? order(prefill, EngineStage.DECODE) : Optional.empty();
    }

    private static List<LiveServer> free(
            List<LiveServer> engines, EngineStage stage, Set<BackendServerId> pending) {
        return engines.stream()
                .filter(engine -> engine.hasStage(stage) && !pending.contains(engine.id()))
                .sorted(Comparator.comparing(LiveServer::id))
                .toList();
    }

    /** The last one, so that hosts which know the same engines want the same order. */
    private static Optional<StageOrder> order(List<LiveServer> engines, EngineStage stage) {
        return engines.isEmpty()
                ? Optional.empty()
                : Optional.of(new StageOrder(engines.get(engines.size() - 1), stage));
    }
}
