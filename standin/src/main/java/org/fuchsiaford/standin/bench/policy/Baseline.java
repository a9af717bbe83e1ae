package org.fuchsiaford.standin.bench.policy;

import java.util.Comparator;
import java.util.List;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.hash.RendezvousHash;
import org.fuchsiaford.placement.EngineSpec;
import org.fuchsiaford.placement.PlacementPolicy;
import org.fuchsiaford.placement.PlacementRequest;

/** The baselines that the placement policy is compared with. */
public enum Baseline {
    /** Selects the engines of a kind in turn. */
    ROUND_ROBIN {
        @Override
        EngineSelector createSelector() {
            int[] next = {0, 0};
            return (request, kind, loads, now) -> {
                List<BackendServerId> engines = loads.engines(kind);
                int index = kind == BackendKind.PREFILL ? 0 : 1;
                return engines.get(next[index]++ % engines.size());
            };
        }
    },
    /** Selects the engine with the lowest load in its last report. */
    LEAST_REPORTED_LOAD {
        @Override
        EngineSelector createSelector() {
            return (request, kind, loads, now) -> leastLoaded(kind, loads);
        }
    },
    /**
     * Selects the prefill engine by the hash of the first block, and the least loaded decode
     * engine.
     */
    PREFIX_AFFINITY {
        @Override
        EngineSelector createSelector() {
            return (request, kind, loads, now) ->
                    kind == BackendKind.PREFILL
                            ? RendezvousHash.rank(affinityKey(request), loads.engines(kind)).get(0)
                            : leastLoaded(kind, loads);
        }
    };

    /** Creates the selector of engines. */
    abstract EngineSelector createSelector();

    private static BackendServerId leastLoaded(BackendKind kind, EngineLoads loads) {
        return loads.engines(kind).stream().min(Comparator.comparingInt(loads::load)).orElseThrow();
    }

    private static String affinityKey(PlacementRequest request) {
        return request.prefixHashes().length == 0
                ? request.request().value()
                : Long.toHexString(request.prefixHashes()[0]);
    }

    /** Creates the policy for the engines of a pool. */
    public PlacementPolicy create(List<EngineSpec> engines) {
        return new ImmediatePolicy(createSelector(), engines);
    }
}
