package org.fuchsiaford.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Which backend servers may get new work: not those on the platform's list as leaving, and for a
 * short while not those that just failed.
 *
 * <p>Invariant: a leaving server is never available. Failing to answer makes a server unavailable
 * only until its next trial, since a failure may be the network's. Thread-safe.
 */
public final class ServerAvailability {
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long LONGEST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int MAX_DOUBLINGS = 4;

    private final Map<BackendServerId, Failure> mFailures = new HashMap<>();
    private Set<BackendServerId> mLeaving = Set.of();

    private record Failure(int count, long untilNanos) {}

    /** Replaces the set of leaving servers. */
    public synchronized void replaceLeaving(Set<BackendServerId> leaving) {
        mLeaving = Set.copyOf(leaving);
    }

    /** Notes that a server failed to answer. */
    public synchronized void recordFailure(BackendServerId server, long nowNanos) {
        Failure last = mFailures.get(server);
        int count = last == null ? 0 : Math.min(last.count() + 1, MAX_DOUBLINGS);
        long pauseNanos = Math.min(FIRST_PAUSE_NANOS << count, LONGEST_PAUSE_NANOS);
        mFailures.put(server, new Failure(count, nowNanos + pauseNanos));
    }

    /** Notes that a server answered. */
    public synchronized void recordSuccess(BackendServerId server) {
        mFailures.remove(server);
    }

    /** Returns whether a server may get new work. */
    public synchronized boolean isAvailable(BackendServerId server, long nowNanos) {
        Failure failure = mFailures.get(server);
        boolean paused = failure != null && nowNanos - failure.untilNanos() < 0;
        return !paused && !mLeaving.contains(server);
    }

    /** Returns whether a server is on the list as leaving. */
    public synchronized boolean isLeaving(BackendServerId server) {
        return mLeaving.contains(server);
    }
}
