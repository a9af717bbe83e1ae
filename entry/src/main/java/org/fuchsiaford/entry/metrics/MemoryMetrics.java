package org.fuchsiaford.entry.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.fuchsiaford.hostmemory.ConnectionLimit;
import org.fuchsiaford.hostmemory.MemoryAccount;
import org.fuchsiaford.hostmemory.MemoryDirection;

/** The metrics of the memory that a host holds for callers. Stateless, hence thread-safe. */
public final class MemoryMetrics {
    private MemoryMetrics() {}

    /** Registers gauges that read the account and the limit of connections. */
    public static void register(
            MetricRegistry registry, MemoryAccount account, ConnectionLimit<?> connections) {
        for (MemoryDirection direction : MemoryDirection.values()) {
            String label = "{direction=\"" + direction.wireName() + "\"}";
            gauge(registry, "fuchsiaford_held_bytes" + label, () -> account.heldBytes(direction));
            gauge(
                    registry,
                    "fuchsiaford_memory_refusals_total" + label,
                    () -> account.refusals(direction));
        }
        gauge(registry, "fuchsiaford_memory_evictions_total", account::evictions);
        gauge(registry, "fuchsiaford_open_connections", connections::openConnections);
        gauge(registry, "fuchsiaford_surplus_connections_total", connections::closedConnections);
    }

    private static void gauge(MetricRegistry registry, String name, Gauge<?> gauge) {
        registry.gauge(name, () -> gauge);
    }
}
