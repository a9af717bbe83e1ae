package org.fuchsiaford.serverlimit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRun;

/**
 * Permits requests to the backend servers that are limited for any reason, one token bucket each;
 * the lowest limit counts.
 *
 * <p>The limit holds for all hosts together, so a coordinator permits the requests of every host
 * that asks it. A host that reaches no coordinator permits its own, at its share of the limit.
 *
 * <p>Invariant: the bucket of a coordinator is empty at first, since it is not known what others
 * have permitted before. In any time, at most the limit times that time and {@link #BURST_SECONDS}
 * are permitted, and never fewer than one request in a while: only a response tells that the limit
 * has ended.
 *
 * <p>Where a limit is strict, many hosts that decide by themselves must not use permits at the same
 * moment: their buckets begin at random levels and fill by half of their share, and a permit that
 * is not used at once lapses. Thread-safe.
 */
public final class ServerRateLimiter {
    /** Lowest rate at which requests are sent to a server. */
    public static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /** Time for which unused permits are kept; at least one is. */
    private static final double BURST_SECONDS = 0.25;

    /** Share of a host below which it decides for few hosts or only for itself. */
    private static final double SMALL_SHARE = 0.4;

    /** Part of a strict limit that hosts with a small share use. */
    private static final double SMALL_SHARE_FRACTION = 0.5;

    /** Retry delay of a host without a share, which reaches a coordinator again by then. */
    private static final long NO_SHARE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Rounding errors of sums of short times. */
    private static final double EPSILON = 1e-9;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ServerLimits mLimits;
    private final List<ServerRateSource> mSources;
    private final DoubleSupplier mShare;
    private final DoubleSupplier mRandom;
    private final Map<ServerRun, Bucket> mBuckets = new HashMap<>();

    private static final class Bucket {
        private double mPermits;
        private long mUpdatedNanos;

        Bucket(double permits, long nowNanos) {
            mPermits = permits;
            mUpdatedNanos = nowNanos;
        }

        /**
         * Adds what has become free.
         *
         * @param lapses whether the only permit of a full bucket lapses if it is not used at once
         */
        void refill(double perSecond, boolean lapses, long nowNanos) {
            double added = (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND * perSecond;
            double burst = perSecond * BURST_SECONDS;
            mUpdatedNanos = nowNanos;
            if (lapses && burst < 1) {
                double permits = mPermits + added;
                mPermits = permits > 1 + burst ? permits - Math.floor(permits - burst) : permits;
            } else {
                mPermits = Math.min(Math.max(1, burst), mPermits + added);
            }
        }
    }

    /**
     * Creates a limiter under the limits that servers name only.
     *
     * @param share the part of each limit that this host may permit, from 0 to 1
     */
    public ServerRateLimiter(ServerLimits limits, DoubleSupplier share) {
        this(limits, List.of(), share, () -> 0);
    }

    /**
     * Creates a limiter.
     *
     * @param others what else limits the requests to servers
     * @param share the part of each limit that this host may permit, from 0 to 1
     * @param random a source of uniformly distributed random numbers from 0 to 1
     */
    public ServerRateLimiter(
            ServerLimits limits,
            List<ServerRateSource> others,
            DoubleSupplier share,
            DoubleSupplier random) {
        mLimits = limits;
        mSources = Stream.concat(Stream.of(limits), others.stream()).toList();
        mShare = share;
        mRandom = random;
    }

    /**
     * Permits one request to a server.
     *
     * @return zero if permitted, otherwise the time in nanoseconds until the next permit
     */
    public synchronized long acquire(ServerRun server, long nowNanos) {
        long waitNanos = waitNanos(server, nowNanos);
        // Without a bucket, the server was not limited when the wait was determined.
        Bucket bucket = mBuckets.get(server);
        if (waitNanos == 0 && bucket != null) {
            bucket.mPermits--;
        }
        return waitNanos;
    }

    /** Returns the time in nanoseconds until a server may be sent a request; zero if it may now. */
    public synchronized long waitNanos(ServerRun server, long nowNanos) {
        ServerRate rate = rate(server, nowNanos);
        if (!rate.isLimited()) {
            mBuckets.remove(server);
            return 0;
        }
        double share = mShare.getAsDouble();
        boolean isSmall = rate.strict() && share < SMALL_SHARE;
        double perSecond = rate.requestsPerSecond() * share * (isSmall ? SMALL_SHARE_FRACTION : 1);
        if (perSecond <= 0) {
            return NO_SHARE_RETRY_NANOS;
        }
        Bucket bucket =
                mBuckets.computeIfAbsent(
                        server, run -> new Bucket(isSmall ? mRandom.getAsDouble() : 0, nowNanos));
        bucket.refill(perSecond, isSmall, nowNanos);
        double missing = 1 - bucket.mPermits;
        long waitNanos =
                missing <= EPSILON ? 0 : (long) Math.ceil(missing / perSecond * NANOS_PER_SECOND);
        return Math.min(waitNanos, rate.remainingNanos());
    }

    private ServerRate rate(ServerRun server, long nowNanos) {
        ServerRate lowest =
                mSources.stream()
                        .map(source -> source.rate(server, nowNanos))
                        .reduce(ServerRate.UNLIMITED, ServerRate::lowest);
        return new ServerRate(
                Math.max(MIN_REQUESTS_PER_SECOND, lowest.requestsPerSecond()),
                lowest.remainingNanos(),
                lowest.strict());
    }

    /** Returns the servers that may be sent a request now. */
    public synchronized List<LiveServer> availableNow(List<LiveServer> servers, long nowNanos) {
        return isIdle()
                ? servers
                : servers.stream()
                        .filter(server -> waitNanos(server.run(), nowNanos) == 0)
                        .toList();
    }

    /** Returns the servers without a strict limit, which are to be preferred. */
    public List<LiveServer> withoutStrictLimit(List<LiveServer> servers, long nowNanos) {
        return isIdle()
                ? servers
                : servers.stream().filter(s -> !rate(s.run(), nowNanos).strict()).toList();
    }

    private boolean isIdle() {
        return mSources.stream().allMatch(ServerRateSource::isEmpty);
    }

    /** Returns whether the requests to a server are limited. */
    public boolean isLimited(ServerRun server, long nowNanos) {
        return rate(server, nowNanos).isLimited();
    }

    /**
     * Returns the requests per second that are sent to a server at most, by all hosts together;
     * infinite if it is not limited.
     */
    public double requestsPerSecond(ServerRun server, long nowNanos) {
        return rate(server, nowNanos).requestsPerSecond();
    }

    /** Forgets the limits of runs that have ended, and those that were lifted a while ago. */
    public synchronized void removeOld(Predicate<ServerRun> isRegistered, long nowNanos) {
        mLimits.removeOld(isRegistered, nowNanos);
        mBuckets.keySet().removeIf(server -> !isLimited(server, nowNanos));
    }
}
