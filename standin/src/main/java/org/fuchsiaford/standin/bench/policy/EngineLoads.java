package org.fuchsiaford.standin.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.placement.EngineLoad;
import org.fuchsiaford.placement.EngineSpec;

/** The engines of a pool and their last reported loads. Not thread-safe. */
final class EngineLoads {
    private final Map<BackendServerId, Integer> mLoads = new HashMap<>();
    private List<EngineSpec> mEngines;

    EngineLoads(List<EngineSpec> engines) {
        mEngines = List.copyOf(engines);
    }

    void replace(List<EngineSpec> engines) {
        mEngines = List.copyOf(engines);
    }

    List<BackendServerId> engines(BackendKind kind) {
        return mEngines.stream()
                .filter(engine -> engine.kind() == kind)
                .map(EngineSpec::id)
                .toList();
    }

    void report(EngineLoad load) {
        mLoads.put(load.engine(), load.running() + load.waiting());
    }

    /** Returns the number of running and waiting requests, zero before the first report. */
    int load(BackendServerId engine) {
        return mLoads.getOrDefault(engine, 0);
    }
}
