package org.fuchsiaford.standin.bench.policy;

import java.util.Comparator;
import java.util.List;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.hash.RendezvousHash;
import org.fuchsiaford.placement.EngineSpec;
import org.fuchsiaford.placement.PlacementPolicy;
import org.fuchsiaford.placement.PlacementRequest;

/** The baselines that the policy is measured against. */
public enum Baseline {
    /** One engine after the other. */
    ROUND_ROBIN {
        @Override
        EngineSelector selector() {
            int[] next = {0, 0};
            return (request, kind, loads, now) -> {
                List<BackendServerId> engines = loads.engines(kind);
                int index = kind == BackendKind.PREFILL ? 0 : 1;
                return engines.get(next[index]++ % engines.size());
            };
        }
    },
    /** The engine with the least load in its last report. */
    LEAST_REPORTED_LOAD {
        @Override
        EngineSelector selector() {
            return (request, kind, loads, now) -> leastLoaded(kind, loads);
        }
    },
    /** For prefill the engine that the prompt's first piece hashes to; else the least loaded. */
    PREFIX_AFFINITY {
        @Override
        EngineSelector selector() {
            return (request, kind, loads, now) ->
                    kind == BackendKind.PREFILL
                            ? RendezvousHash.rank(affinity(request), loads.engines(kind)).get(0)
                            : leastLoaded(kind, loads);
        }
    };

    abstract EngineSelector selector();

    private static BackendServerId leastLoaded(BackendKind kind, EngineLoads loads) {
        return loads.engines(kind).stream().min(Comparator.comparingInt(loads::load)).orElseThrow();
    }

    private static String affinity(PlacementRequest request) {
        return request.prefixHashes().length == 0
                ? request.request().value()
                : Long.toHexString(request.prefixHashes()[0]);
    }

    /** Creates the baseline for the engines of a pool. */
    public PlacementPolicy create(List<EngineSpec> engines) {
        return new ImmediatePolicy(selector(), engines);
    }
}
