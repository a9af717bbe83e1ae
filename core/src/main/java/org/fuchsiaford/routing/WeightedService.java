package org.fuchsiaford.routing;

import org.fuchsiaford.backend.ServiceId;

/**
 * A service that receives a share of the requests of a route. Immutable.
 *
 * @param service the service
 * @param weight the share, relative to the weights of the other services of the route; positive
 */
public record WeightedService(ServiceId service, int weight) {}
