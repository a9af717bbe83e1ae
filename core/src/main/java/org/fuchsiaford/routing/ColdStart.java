package org.fuchsiaford.routing;

import java.util.concurrent.TimeUnit;

/**
 * How many requests the servers of a service tolerate for a while after they have started.
 * Immutable.
 *
 * @param durationNanos how long a server is cold after it has started, in nanoseconds
 * @param requestsPerSecond the requests that a cold server tolerates from all hosts together; zero
 *     if servers of the service are never cold
 */
public record ColdStart(long durationNanos, double requestsPerSecond) {
    /** Servers that are never cold. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Creates a declaration from values that may be absent (null), negative or not finite. */
    public static ColdStart of(Double seconds, Double requestsPerSecond) {
        boolean isDeclared =
                requestsPerSecond != null
                        && requestsPerSecond > 0
                        && requestsPerSecond < Double.POSITIVE_INFINITY;
        double duration = seconds == null || !(seconds > 0) ? 0 : seconds;
        return isDeclared
                ? new ColdStart((long) (duration * NANOS_PER_SECOND), requestsPerSecond)
                : NONE;
    }

    /** Returns whether servers of the service may be cold. */
    public boolean isDeclared() {
        return requestsPerSecond > 0;
    }
}
