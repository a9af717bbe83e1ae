package org.fuchsiaford.routing;

import java.util.List;
import org.fuchsiaford.backend.ServiceId;

/**
 * A route from callers to one or more services, chosen by virtual host and path. Immutable.
 *
 * @param name the operators' name of the route
 * @param virtualHost the name in the callers' {@code Host} header
 * @param pathPrefix the beginning of the paths that it serves; ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest wait for a whole answer, in milliseconds
 * @param targetLatencyMillis the wait within which an answer (of a stream: its first event) is on
 *     time
 * @param targetGapMillis the pause between events within which a stream is on time; zero for others
 * @param priority the rank of its requests; zero comes first
 * @param maxServers how many backend servers may run one request
 * @param publicAccess whether no key is needed
 * @param services where requests go; never empty
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
        List<WeightedService> services) {

    /** Callers give a silent stream up after the longest of these three. */
    private static final long MIN_EVENT_TIMEOUT_MILLIS = 2_000;

    private static final long EVENT_TIMEOUT_LATENCY_FACTOR = 4;
    private static final long EVENT_TIMEOUT_GAP_FACTOR = 8;

    /** Returns how long callers wait for the next event of a stream, in milliseconds. */
    public long eventTimeoutMillis() {
        return Math.max(
                MIN_EVENT_TIMEOUT_MILLIS,
                Math.max(
                        targetLatencyMillis * EVENT_TIMEOUT_LATENCY_FACTOR,
                        targetGapMillis * EVENT_TIMEOUT_GAP_FACTOR));
    }

    /**
     * Picks the service of one request.
     *
     * @param draw an evenly distributed number from 0 (included) to 1 (excluded)
     */
    public ServiceId pickService(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
