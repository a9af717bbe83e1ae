package org.fuchsiaford.standin.bench.policy;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.placement.PlacementRequest;

/** Selects an engine for a request. Implementations are not thread-safe. */
interface EngineSelector {
    BackendServerId select(
            PlacementRequest request, BackendKind kind, EngineLoads loads, long nowNanos);
}
