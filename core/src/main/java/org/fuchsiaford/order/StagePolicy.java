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
 * part of the engines is kept for prompts. Orders go one way, from prefill to decode, and so never
 * flap. Stateless, hence thread-safe.
 */
public final class StagePolicy {
    /** One prefill engine for so many engines; the rest of the prompts is read while decoding. */
    private static final int ENGINES_PER_PREFILL = 6;

    /** Fewer engines are left as they are: one that changes its part is away for seconds. */
    private static final int FEWEST_ENGINES = 4;

    private StagePolicy() {}

    /**
     * Returns the next order for the engines of a service.
     *
     * @param engines the engines that take new work
     * @param pending engines with an order that may still be carried out
     */
    public static Optional<StageOrder> next(
            List<LiveServer> engines, Set<BackendServerId> pending) {
        List<LiveServer> prefill =
                engines.stream()
                        .filter(engine -> engine.isStage(EngineStage.PREFILL))
                        .filter(engine -> !pending.contains(engine.id()))
                        .sorted(Comparator.comparing(LiveServer::id))
                        .toList();
        int wanted = Math.max(1, engines.size() / ENGINES_PER_PREFILL);
        if (engines.size() < FEWEST_ENGINES || prefill.size() <= wanted) {
            return Optional.empty();
        }
        return Optional.of(new StageOrder(prefill.get(prefill.size() - 1), EngineStage.DECODE));
    }
}
