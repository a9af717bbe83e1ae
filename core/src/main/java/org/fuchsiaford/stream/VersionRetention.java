package org.fuchsiaford.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.SoftwareVersion;

/**
 * Decides which software versions of a service stay recorded: those of registered servers, and
 * former ones for as long as a caller may take up a stream that began there.
 *
 * <p>Invariant: a version is dropped only if this host itself has seen no server of it for the
 * whole retention time. Thread-safe.
 */
public final class VersionRetention {
    /** Callers retry for as long as a response may take, or a few times as long. */
    private static final int TIMEOUT_FACTOR = 4;

    private static final long MIN_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<ServiceId, Map<SoftwareVersion, Long>> mAbsentSinceNanos = new HashMap<>();

    /**
     * Returns for how long streams and versions are remembered.
     *
     * @param maxTimeoutMillis the longest timeout of a response on any route, in milliseconds
     */
    public static long retentionNanos(long maxTimeoutMillis) {
        return Math.max(
                MIN_RETENTION_NANOS,
                TimeUnit.MILLISECONDS.toNanos(maxTimeoutMillis) * TIMEOUT_FACTOR);
    }

    /**
     * Returns the versions to record for a service, in ascending order; empty if nothing changes.
     *
     * @param recorded the versions recorded now
     * @param registered the versions of the registered servers
     */
    public synchronized Optional<List<SoftwareVersion>> update(
            ServiceId service,
            List<SoftwareVersion> recorded,
            Set<SoftwareVersion> registered,
            long retentionNanos,
            long nowNanos) {
        Map<SoftwareVersion, Long> absent =
                mAbsentSinceNanos.computeIfAbsent(service, id -> new HashMap<>());
        absent.keySet().retainAll(recorded);
        absent.keySet().removeAll(registered);
        recorded.stream()
                .filter(version -> !registered.contains(version))
                .forEach(version -> absent.putIfAbsent(version, nowNanos));
        Set<SoftwareVersion> kept = new TreeSet<>(registered);
        recorded.stream()
                .filter(version -> !isExpired(absent.get(version), retentionNanos, nowNanos))
                .forEach(kept::add);
        return kept.equals(new TreeSet<>(recorded))
                ? Optional.empty()
                : Optional.of(List.copyOf(kept));
    }

    private static boolean isExpired(Long absentSinceNanos, long retentionNanos, long nowNanos) {
        return absentSinceNanos != null && nowNanos - absentSinceNanos >= retentionNanos;
    }
}
