package org.fuchsiaford.routing;

import org.fuchsiaford.backend.ServiceId;

/**
 * A service that gets part of a route's requests. Immutable.
 *
 * @param service the service
 * @param weight its part, relative to the weights beside it; positive
 */
public record WeightedService(ServiceId service, int weight) {}
