package org.fuchsiaford.routing;

import java.util.Optional;
import org.fuchsiaford.backend.ServiceId;

/**
 * A service that routes lead to. Immutable.
 *
 * @param id the service
 * @param engine what its servers can hold if they are model engines
 */
public record ServiceDeclaration(ServiceId id, Optional<EngineCapacity> engine) {}
