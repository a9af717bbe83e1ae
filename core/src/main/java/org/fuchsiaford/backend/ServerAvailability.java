package org.fuchsiaford.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks which backend servers may get new requests: not those that the platform lists as leaving,
 * and, for an exponentially growing time, not those that failed to answer.
 *
 * <p>Invariant: a leaving server is never available. A server that failed to answer is unavailable
 * only until its backoff ends, since the network may have caused the failure. Thread-safe.
 */
public final class ServerAvailability {
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int MAX_DOUBLINGS = 4;

    private final Map<BackendServerId, Failure> mFailures = new HashMap<>();
    private Set<BackendServerId> mLeaving = Set.of();

    private record Failure(int doublings, long backoffEndNanos) {}

    /** Replaces the set of leaving servers. */
    public synchronized void replaceLeaving(Set<BackendServerId> leaving) {
        mLeaving = Set.copyOf(leaving);
    }

    /** Records that a server failed to answer. */
    public synchronized void recordFailure(BackendServerId server, long nowNanos) {
        Failure last = mFailures.get(server);
        int doublings = last == null ? 0 : Math.min(last.doublings() + 1, MAX_DOUBLINGS);
        long backoffNanos = Math.min(MIN_BACKOFF_NANOS << doublings, MAX_BACKOFF_NANOS);
        mFailures.put(server, new Failure(doublings, nowNanos + backoffNanos));
    }

    /** Records that a server answered, which ends its backoff. */
    public synchronized void recordSuccess(BackendServerId server) {
        mFailures.remove(server);
    }

    /** Returns whether a server may get new requests. */
    public synchronized boolean isAvailable(BackendServerId server, long nowNanos) {
        Failure failure = mFailures.get(server);
        boolean backingOff = failure != null && nowNanos - failure.backoffEndNanos() < 0;
        return !backingOff && !mLeaving.contains(server);
    }

    /** Returns whether the platform lists a server as leaving. */
    public synchronized boolean isLeaving(BackendServerId server) {
        return mLeaving.contains(server);
    }
}
