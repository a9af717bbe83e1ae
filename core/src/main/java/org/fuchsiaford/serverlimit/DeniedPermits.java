package org.fuchsiaford.serverlimit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRun;

/**
 * The permits that this host was denied, so that it does not ask again in vain.
 *
 * <p>Invariant: a denial ends at the time that it names, and at once if the server names another
 * limit than that under which it was given. A denial for another reason than a named limit ends at
 * its time only. Thread-safe.
 */
public final class DeniedPermits {
    /** Shortest time for which a server is left out after a denial. */
    private static final long MIN_DENIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final ServerLimits mLimits;
    private final Map<ServerRun, Denial> mDenials = new HashMap<>();

    private record Denial(double requestsPerSecond, long untilNanos) {}

    /** Creates an empty set of denials under the given limits. */
    public DeniedPermits(ServerLimits limits) {
        mLimits = limits;
    }

    /** Records that a permit was denied, and the time in nanoseconds until there may be one. */
    public synchronized void record(ServerRun server, long waitNanos, long nowNanos) {
        mDenials.values().removeIf(denial -> denial.untilNanos() - nowNanos <= 0);
        long untilNanos = nowNanos + Math.max(MIN_DENIAL_NANOS, waitNanos);
        mDenials.put(server, new Denial(mLimits.requestsPerSecond(server), untilNanos));
    }

    /** Returns the servers for which there may be a permit now. */
    public synchronized List<LiveServer> availableNow(List<LiveServer> servers, long nowNanos) {
        return mDenials.isEmpty()
                ? servers
                : servers.stream()
                        .filter(server -> remainingNanos(server.run(), nowNanos) == 0)
                        .toList();
    }

    /**
     * Returns the time until there may be a permit for the first of the servers, in milliseconds,
     * rounded up; zero if there may be one now or there is no server.
     */
    public synchronized long millisUntilFirst(List<LiveServer> servers, long nowNanos) {
        long nanos =
                servers.stream()
                        .mapToLong(server -> remainingNanos(server.run(), nowNanos))
                        .min()
                        .orElse(0);
        return TimeUnit.NANOSECONDS.toMillis(nanos + TimeUnit.MILLISECONDS.toNanos(1) - 1);
    }

    private long remainingNanos(ServerRun server, long nowNanos) {
        Denial denial = mDenials.get(server);
        boolean holds =
                denial != null && denial.requestsPerSecond() == mLimits.requestsPerSecond(server);
        return holds ? Math.max(0, denial.untilNanos() - nowNanos) : 0;
    }
}
