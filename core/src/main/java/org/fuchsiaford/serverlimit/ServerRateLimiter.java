package org.fuchsiaford.serverlimit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRun;

/**
 * Permits requests to the backend servers that name a limit, one token bucket each.
 *
 * <p>The limit holds for all hosts together, so a coordinator permits the requests of every host
 * that asks it. A host that reaches no coordinator permits its own, at its share of the limit.
 *
 * <p>Invariant: a bucket is empty at first, since it is not known what others have permitted
 * before. In any time, at most the limit times that time and {@link #BURST_SECONDS} are permitted,
 * and never fewer than one request in a while: only a response tells that the limit has ended.
 * Thread-safe.
 */
public final class ServerRateLimiter {
    /** Lowest rate at which requests are sent to a server. */
    public static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /** Time for which unused permits are kept; at least one is. */
    private static final double BURST_SECONDS = 0.25;

    /** Retry delay of a host without a share, which reaches a coordinator again by then. */
    private static final long NO_SHARE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Rounding errors of sums of short times. */
    private static final double EPSILON = 1e-9;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ServerLimits mLimits;
    private final DoubleSupplier mShare;
    private final Map<ServerRun, Bucket> mBuckets = new HashMap<>();

    private static final class Bucket {
        private double mPermits;
        private long mUpdatedNanos;

        Bucket(long nowNanos) {
            mUpdatedNanos = nowNanos;
        }

        void refill(double perSecond, long nowNanos) {
            double added = (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND * perSecond;
            double capacity = Math.max(1, perSecond * BURST_SECONDS);
            mPermits = Math.min(capacity, mPermits + added);
            mUpdatedNanos = nowNanos;
        }
    }

    /**
     * Creates a limiter.
     *
     * @param share the part of each limit that this host may permit, from 0 to 1
     */
    public ServerRateLimiter(ServerLimits limits, DoubleSupplier share) {
        mLimits = limits;
        mShare = share;
    }

    /**
     * Permits one request to a server.
     *
     * @return zero if permitted, otherwise the time in nanoseconds until the next permit
     */
    public synchronized long acquire(ServerRun server, long nowNanos) {
        long waitNanos = waitNanos(server, nowNanos);
        // Without a bucket, the server named no limit when the wait was determined.
        Bucket bucket = mBuckets.get(server);
        if (waitNanos == 0 && bucket != null) {
            bucket.mPermits--;
        }
        return waitNanos;
    }

    /** Returns the time in nanoseconds until a server may be sent a request; zero if it may now. */
    public synchronized long waitNanos(ServerRun server, long nowNanos) {
        double limit = requestsPerSecond(server);
        if (Double.isInfinite(limit)) {
            mBuckets.remove(server);
            return 0;
        }
        double perSecond = limit * mShare.getAsDouble();
        if (perSecond <= 0) {
            return NO_SHARE_RETRY_NANOS;
        }
        Bucket bucket = mBuckets.computeIfAbsent(server, run -> new Bucket(nowNanos));
        bucket.refill(perSecond, nowNanos);
        double missing = 1 - bucket.mPermits;
        return missing <= EPSILON ? 0 : (long) Math.ceil(missing / perSecond * NANOS_PER_SECOND);
    }

    /** Returns the servers that may be sent a request now. */
    public synchronized List<LiveServer> availableNow(List<LiveServer> servers, long nowNanos) {
        return mLimits.isEmpty()
                ? servers
                : servers.stream()
                        .filter(server -> waitNanos(server.run(), nowNanos) == 0)
                        .toList();
    }

    /** Returns whether a server names a limit. */
    public boolean isLimited(ServerRun server) {
        return mLimits.isLimited(server);
    }

    /**
     * Returns the requests per second that are sent to a server at most, by all hosts together;
     * infinite if it names no limit.
     */
    public double requestsPerSecond(ServerRun server) {
        return Math.max(MIN_REQUESTS_PER_SECOND, mLimits.requestsPerSecond(server));
    }

    /** Forgets the limits of runs that have ended, and those that were lifted a while ago. */
    public synchronized void removeOld(Predicate<ServerRun> isRegistered, long nowNanos) {
        mLimits.removeOld(isRegistered, nowNanos);
        mBuckets.keySet().removeIf(server -> !mLimits.isLimited(server));
    }
}
