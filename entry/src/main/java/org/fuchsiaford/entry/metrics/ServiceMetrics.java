package org.fuchsiaford.entry.metrics;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.EngineStage;

/**
 * The metrics of a host by service of backend servers: attempts by outcome, and the time until a
 * response or its first bytes.
 *
 * <p>Invariant: at most {@link #MAX_SERVICES} services get a label of their own, so that
 * declarations with ever new service names cannot exhaust the memory. Thread-safe.
 */
public final class ServiceMetrics {
    /** Several times the number of services in a declaration. */
    static final int MAX_SERVICES = 100;

    private static final String OTHER_SERVICES_LABEL = "others";

    private final MetricRegistry mRegistry;
    private final Set<ServiceId> mServices = ConcurrentHashMap.newKeySet();

    /** Creates metrics in a registry. */
    public ServiceMetrics(MetricRegistry registry) {
        mRegistry = registry;
    }

    /** Counts an attempt by outcome. */
    public void count(ServiceId service, AttemptOutcome outcome) {
        String labels =
                "{service=\""
                        + label(service)
                        + "\",outcome=\""
                        + outcome.name().toLowerCase(Locale.ROOT)
                        + "\"}";
        mRegistry.counter("fuchsiaford_attempts" + labels).inc();
    }

    /**
     * Counts what became of requests for seats.
     *
     * @param outcome a constant name of the outcome
     */
    public void countSeat(ServiceId service, String outcome) {
        String labels = "{service=\"" + label(service) + "\",outcome=\"" + outcome + "\"}";
        mRegistry.counter("fuchsiaford_seats" + labels).inc();
    }

    /**
     * Counts what servers say of themselves.
     *
     * @param notice a constant name of the kind of notice
     */
    public void countNotice(ServiceId service, String notice) {
        String labels = "{service=\"" + label(service) + "\",notice=\"" + notice + "\"}";
        mRegistry.counter("fuchsiaford_server_notices" + labels).inc();
    }

    /** Counts an order to change its stage that an engine has accepted. */
    public void countStageOrder(ServiceId service, EngineStage stage) {
        String labels =
                "{service=\""
                        + label(service)
                        + "\",stage=\""
                        + stage.name().toLowerCase(Locale.ROOT)
                        + "\"}";
        mRegistry.counter("fuchsiaford_stage_orders" + labels).inc();
    }

    /** Counts a stream with events further apart than the target of its route. */
    public void countLongGap(ServiceId service) {
        String labels = "{service=\"" + label(service) + "\"}";
        mRegistry.counter("fuchsiaford_stream_gaps_over_target" + labels).inc();
    }

    /**
     * Records the time until a server responded, in a histogram in microseconds.
     *
     * @param elapsedNanos the time in nanoseconds
     */
    public void record(ServiceId service, long elapsedNanos) {
        String name = "fuchsiaford_attempt{service=\"" + label(service) + "\"}";
        EntryMetrics.histogram(mRegistry, name).update(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
    }

    private String label(ServiceId service) {
        boolean known = mServices.contains(service);
        if (!known && mServices.size() >= MAX_SERVICES) {
            return OTHER_SERVICES_LABEL;
        }
        mServices.add(service);
        return service.value();
    }
}
