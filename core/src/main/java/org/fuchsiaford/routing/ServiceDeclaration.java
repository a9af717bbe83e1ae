package org.fuchsiaford.routing;

import java.util.Optional;
import org.fuchsiaford.backend.ServiceId;

/**
 * A service that routes forward requests to. Immutable.
 *
 * @param id the ID of the service
 * @param engine the capacity of each server if the servers are model engines; otherwise empty
 * @param coldStart what its servers tolerate after they have started
 */
public record ServiceDeclaration(
        ServiceId id, Optional<EngineCapacity> engine, ColdStart coldStart) {

    /** Creates a service whose servers are never cold. */
    public ServiceDeclaration(ServiceId id, Optional<EngineCapacity> engine) {
        this(id, engine, ColdStart.NONE);
    }
}
