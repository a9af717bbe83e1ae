package org.fuchsiaford.routing;

import java.util.Optional;
import org.fuchsiaford.backend.ServiceId;

/**
 * A service that routes forward requests to. Immutable.
 *
 * @param id the ID of the service
 * @param engine the capacity of each server if the servers are model engines; otherwise empty
 */
public record ServiceDeclaration(ServiceId id, Optional<EngineCapacity> engine) {}
