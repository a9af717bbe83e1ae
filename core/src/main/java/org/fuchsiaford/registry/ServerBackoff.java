package org.fuchsiaford.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;

/**
 * The backend servers that want no requests from this host for a while. Other hosts may still send
 * them requests.
 *
 * <p>Invariant: a backoff ends with the run of its server, and at the latest after {@link
 * #MAX_BACKOFF_MILLIS}. Thread-safe.
 */
public final class ServerBackoff {
    /** The longest time for which a server can keep requests away. */
    public static final long MAX_BACKOFF_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private final Map<BackendServerId, Backoff> mBackoffs = new HashMap<>();

    private record Backoff(long startedMillis, long untilNanos) {
        boolean concerns(LiveServer server, long nowNanos) {
            return startedMillis == server.startedMillis() && untilNanos - nowNanos > 0;
        }
    }

    /** Records that a server wants no requests for a while; the later of two ends prevails. */
    public synchronized void start(LiveServer server, long retryAfterMillis, long nowNanos) {
        mBackoffs.values().removeIf(backoff -> backoff.untilNanos() - nowNanos <= 0);
        long millis = Math.min(retryAfterMillis, MAX_BACKOFF_MILLIS);
        if (millis > 0) {
            long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
            Backoff last = mBackoffs.get(server.id());
            boolean isLonger =
                    last == null
                            || !last.concerns(server, nowNanos)
                            || untilNanos - last.untilNanos() > 0;
            if (isLonger) {
                mBackoffs.put(server.id(), new Backoff(server.startedMillis(), untilNanos));
            }
        }
    }

    /** Returns whether a server wants no requests now. */
    public synchronized boolean isActive(LiveServer server, long nowNanos) {
        Backoff backoff = mBackoffs.get(server.id());
        return backoff != null && backoff.concerns(server, nowNanos);
    }

    /** Returns the servers that accept requests from this host now. */
    public synchronized List<LiveServer> acceptingNow(List<LiveServer> servers, long nowNanos) {
        return mBackoffs.isEmpty()
                ? servers
                : servers.stream().filter(server -> !isActive(server, nowNanos)).toList();
    }

    /**
     * Returns the time until the first of the servers accepts requests again, in milliseconds,
     * rounded up; zero if one of them is not backed off or there is none.
     */
    public synchronized long millisUntilFirstEnds(List<LiveServer> servers, long nowNanos) {
        long nanos =
                servers.stream()
                        .mapToLong(server -> remainingNanos(server, nowNanos))
                        .min()
                        .orElse(0);
        return TimeUnit.NANOSECONDS.toMillis(nanos + TimeUnit.MILLISECONDS.toNanos(1) - 1);
    }

    private long remainingNanos(LiveServer server, long nowNanos) {
        return isActive(server, nowNanos) ? mBackoffs.get(server.id()).untilNanos() - nowNanos : 0;
    }
}
