package org.fuchsiaford.routing;

import java.util.List;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.AllowedRegions;

/**
 * A route that forwards client requests to one or more services, selected by virtual host and path.
 * Immutable.
 *
 * @param name the name that the operators gave the route
 * @param virtualHost the name in the {@code Host} header of requests
 * @param pathPrefix the prefix of the request paths that match; ends with a slash
 * @param kind whether requests may be repeated and whether responses are streams
 * @param timeoutMillis the timeout for a complete response, in milliseconds
 * @param targetLatencyMillis the latency target for a response, or for the first event of a stream,
 *     in milliseconds
 * @param targetGapMillis the target for the time between events of a stream, in milliseconds; zero
 *     for other responses
 * @param priority the priority of requests; zero is the highest
 * @param maxServers the maximum number of backend servers that may run one request
 * @param publicAccess whether the route accepts requests without a key
 * @param services the services that requests are distributed over; never empty
 * @param allowedRegions the regions whose servers may serve requests
 */
public record GatewayRoute(
        String name,
        String virtualHost,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        long targetGapMillis,
        int priority,
        int maxServers,
        boolean publicAccess,
        List<WeightedService> services,
        AllowedRegions allowedRegions) {

    /**
     * Clients abandon a stream without events after the longest of three times: this minimum, the
     * latency target times its factor, and the gap target times its factor.
     */
    private static final long MIN_EVENT_TIMEOUT_MILLIS = 2_000;

    private static final long EVENT_TIMEOUT_LATENCY_FACTOR = 4;
    private static final long EVENT_TIMEOUT_GAP_FACTOR = 8;

    /** Creates a route whose requests servers in all regions may serve. */
    public GatewayRoute(
            String name,
            String virtualHost,
            String pathPrefix,
            RequestKind kind,
            long timeoutMillis,
            long targetLatencyMillis,
            long targetGapMillis,
            int priority,
            int maxServers,
            boolean publicAccess,
            List<WeightedService> services) {
        this(
                name,
                virtualHost,
                pathPrefix,
                kind,
                timeoutMillis,
                targetLatencyMillis,
                targetGapMillis,
                priority,
                maxServers,
                publicAccess,
                services,
                AllowedRegions.ALL);
    }

    /** Returns how long clients wait for the next event of a stream, in milliseconds. */
    public long eventTimeoutMillis() {
        return Math.max(
                MIN_EVENT_TIMEOUT_MILLIS,
                Math.max(
                        targetLatencyMillis * EVENT_TIMEOUT_LATENCY_FACTOR,
                        targetGapMillis * EVENT_TIMEOUT_GAP_FACTOR));
    }

    /**
     * Picks a service for one request, by weight.
     *
     * @param draw a uniformly distributed number from 0 (inclusive) to 1 (exclusive)
     */
    public ServiceId pickService(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double remaining = draw * total;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
