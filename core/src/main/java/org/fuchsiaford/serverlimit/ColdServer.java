package org.fuchsiaford.serverlimit;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.ServerRun;

/**
 * A run of a backend server that is cold, as hosts tell each other. Immutable.
 *
 * @param server the run of the server
 * @param service the service that it provides
 * @param remainingMillis how long it is still cold, since hosts have no common clock
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"server", "service", "remainingMillis"})
public record ColdServer(ServerRun server, ServiceId service, long remainingMillis) {}
