package org.fuchsiaford.selection;

import java.util.List;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.RegionMap;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.workspace.WorkspaceId;

/** The engines of each service. Implementations are thread-safe. */
public interface EnginePool {
    /** Returns the engines of a service that accept new requests. */
    List<LiveServer> usable(ServiceId service, long nowNanos);

    /** Returns the regions of the failure domains. */
    default RegionMap regions() {
        return RegionMap.NONE;
    }

    /** Returns the capacity of each engine of a service; unlimited if none is declared. */
    EngineCapacity capacity(ServiceId service);

    /** Returns the positive weight of a workspace relative to others, where engines are scarce. */
    default double weight(WorkspaceId workspace) {
        return 1;
    }
}
