package org.fuchsiaford.entry.metrics;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.ServiceId;

/**
 * The metrics of a host by service of backend servers: how attempts ended, and the time to the
 * answer or to its first bytes.
 *
 * <p>Invariant: at most {@link #MAX_SERVICES} services have names of their own, so that
 * declarations with ever new names cannot fill the memory. Thread-safe.
 */
public final class ServiceMetrics {
    /** Several times the services of a declaration. */
    static final int MAX_SERVICES = 100;

    private static final String OTHERS = "others";

    private final MetricRegistry mRegistry;
    private final Set<ServiceId> mServices = ConcurrentHashMap.newKeySet();

    /** Creates metrics that are written to a registry. */
    public ServiceMetrics(MetricRegistry registry) {
        mRegistry = registry;
    }

    /** Counts an attempt by how it ended. */
    public void count(ServiceId service, AttemptOutcome outcome) {
        String labels =
                "{service=\""
                        + label(service)
                        + "\",outcome=\""
                        + outcome.name().toLowerCase(Locale.ROOT)
                        + "\"}";
        mRegistry.counter("fuchsiaford_attempts" + labels).inc();
    }

    /** Records the time until a server answered, in nanoseconds; the histogram is in micros. */
    public void record(ServiceId service, long elapsedNanos) {
        String name = "fuchsiaford_attempt{service=\"" + label(service) + "\"}";
        EntryMetrics.histogram(mRegistry, name).update(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
    }

    private String label(ServiceId service) {
        boolean known = mServices.contains(service);
        if (!known && mServices.size() >= MAX_SERVICES) {
            return OTHERS;
        }
        mServices.add(service);
        return service.value();
    }
}
