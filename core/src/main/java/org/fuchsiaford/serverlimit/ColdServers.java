package org.fuchsiaford.serverlimit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.routing.ColdStart;

/**
 * The backend servers that are cold: for a while after their start, they crash at a rate that they
 * serve easily later.
 *
 * <p>Load pattern: a failure domain comes back, its servers are the least loaded of the fleet, and
 * all hosts turn to them at once.
 *
 * <p>Invariant: only servers of services whose declaration says so are limited. A server is cold
 * until a deadline, which later reports move back but never forward, and by at most {@link
 * #MAX_COLD_NANOS}. What other hosts report does not prolong what they were told by this one.
 * Thread-safe.
 */
public final class ColdServers implements ServerRateSource {
    /**
     * Part of the tolerated rate that is permitted. The rest is for the moments in which two
     * coordinators count the same hosts, and for engines that are called late because a prompt is
     * read before.
     */
    static final double USED_FRACTION = 0.75;

    /** Longest time for which a registration can keep requests away. */
    static final long MAX_COLD_NANOS = TimeUnit.SECONDS.toNanos(60);

    /**
     * Time in which an unreachable server is tried again, since paused servers are tried once in
     * 0.7 to 2.8 s.
     */
    static final long UNREACHABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_800);

    /**
     * Age up to which an answer to any host shows that a server that one host does not reach has
     * not been away: two heartbeats and a half, with which answers are reported.
     */
    static final long ANSWER_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_250);

    /**
     * Difference of deadlines that the time for messages between hosts explains: one to another
     * host and one back, which each arrive within 600 ms or are lost, and some time to read them.
     */
    static final long REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_400);

    private final Function<ServiceId, ColdStart> mRules;
    private final Map<ServerRun, Cold> mCold = new HashMap<>();
    private final Map<ServiceId, Long> mFirstSeenNanos = new HashMap<>();
    private final Map<ServerRun, ServiceId> mServices = new HashMap<>();
    private final Map<BackendServerId, Long> mAnsweredNanos = new HashMap<>();

    private record Cold(ServiceId service, long untilNanos, long markedNanos, boolean own) {}

    /**
     * Creates an empty set.
     *
     * @param rules what the servers of a service tolerate; {@link ColdStart#NONE} if unknown
     */
    public ColdServers(Function<ServiceId, ColdStart> rules) {
        mRules = rules;
    }

    /** Returns whether servers of a service may be cold. */
    public boolean mayBeCold(ServiceId service) {
        return mRules.apply(service).isDeclared();
    }

    /**
     * Records a registration. A new run counts as cold, even if its registration does not say so
     * yet, unless it registers together with the first servers of its service that this host knows:
     * then the fleet or this host has just started.
     *
     * @param remainingMillis how long the server says it is cold; empty if it does not tell
     * @return whether the server is cold for longer than known before
     */
    public synchronized boolean register(
            LiveServer server, OptionalLong remainingMillis, boolean isNewRun, long nowNanos) {
        mServices.put(server.run(), server.service());
        long firstSeenNanos =
                mFirstSeenNanos.computeIfAbsent(server.service(), service -> nowNanos);
        long startNanos = mRules.apply(server.service()).durationNanos();
        boolean starts = isNewRun && nowNanos - firstSeenNanos > startNanos;
        long statedNanos = TimeUnit.MILLISECONDS.toNanos(remainingMillis.orElse(0));
        return mark(server, Math.max(starts ? startNanos : 0, statedNanos), nowNanos);
    }

    /**
     * Records that a server counts as cold from now on, because it gets requests again after a time
     * in which it got none.
     *
     * @return whether it is cold for longer than known before
     */
    public synchronized boolean markCold(LiveServer server, long nowNanos) {
        return mark(server, mRules.apply(server.service()).durationNanos(), nowNanos);
    }

    /**
     * Records that a connection to a server has failed: once it is reachable again, it may have
     * been away. A server that has just answered another host has not been.
     *
     * @return whether it is cold for longer than known before
     */
    public synchronized boolean markUnreachable(LiveServer server, long nowNanos) {
        Long answeredNanos = mAnsweredNanos.get(server.id());
        boolean isInUse = answeredNanos != null && nowNanos - answeredNanos <= ANSWER_MEMORY_NANOS;
        long startNanos = mRules.apply(server.service()).durationNanos();
        return !isInUse && startNanos > 0 && mark(server, UNREACHABLE_NANOS + startNanos, nowNanos);
    }

    /** Records that a server has answered a request of any host. */
    public synchronized void recordAnswer(BackendServerId server, long nowNanos) {
        mAnsweredNanos.values().removeIf(nanos -> nowNanos - nanos > ANSWER_MEMORY_NANOS);
        mAnsweredNanos.put(server, nowNanos);
    }

    private boolean mark(LiveServer server, long durationNanos, long nowNanos) {
        long untilNanos = nowNanos + Math.min(durationNanos, MAX_COLD_NANOS);
        return put(server.run(), new Cold(server.service(), untilNanos, nowNanos, true), nowNanos);
    }

    private boolean put(ServerRun server, Cold cold, long nowNanos) {
        Cold last = mCold.get(server);
        boolean isLater =
                cold.untilNanos() - nowNanos > 0
                        && (last == null || cold.untilNanos() - last.untilNanos() > 0);
        if (isLater) {
            mCold.put(server, cold);
        }
        return isLater && mayBeCold(cold.service());
    }

    /** Records what other hosts know, and returns what is news. */
    public synchronized List<ColdServer> merge(List<ColdServer> reported, long nowNanos) {
        return reported.stream().filter(cold -> merge(cold, nowNanos)).toList();
    }

    private boolean merge(ColdServer reported, long nowNanos) {
        long durationNanos =
                Math.min(TimeUnit.MILLISECONDS.toNanos(reported.remainingMillis()), MAX_COLD_NANOS);
        long untilNanos = nowNanos + durationNanos;
        Cold last = mCold.get(reported.server());
        boolean isEcho = last != null && untilNanos - last.untilNanos() <= REPORT_DELAY_NANOS;
        return !isEcho
                && put(
                        reported.server(),
                        new Cold(reported.service(), untilNanos, nowNanos, false),
                        nowNanos);
    }

    /** Returns the cold servers, to tell other hosts. */
    public synchronized List<ColdServer> list(long nowNanos) {
        return list(Long.MAX_VALUE, false, nowNanos);
    }

    /**
     * Returns the cold servers that this host has found itself, to tell coordinators.
     *
     * @param maxAgeNanos the age up to which findings are told
     */
    public synchronized List<ColdServer> listOwn(long maxAgeNanos, long nowNanos) {
        return list(maxAgeNanos, true, nowNanos);
    }

    private List<ColdServer> list(long maxAgeNanos, boolean ownOnly, long nowNanos) {
        return mCold.entrySet().stream()
                .filter(e -> !ownOnly || e.getValue().own())
                .filter(e -> nowNanos - e.getValue().markedNanos() <= maxAgeNanos)
                .filter(e -> rate(e.getKey(), nowNanos).isLimited())
                .map(e -> toColdServer(e.getKey(), e.getValue(), nowNanos))
                .toList();
    }

    private static ColdServer toColdServer(ServerRun server, Cold cold, long nowNanos) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(cold.untilNanos() - nowNanos);
        return new ColdServer(server, cold.service(), remainingMillis);
    }

    /** Returns what is known of a server if it is cold, to tell a coordinator. */
    public synchronized Optional<ColdServer> find(ServerRun server, long nowNanos) {
        return rate(server, nowNanos).isLimited()
                ? Optional.of(toColdServer(server, mCold.get(server), nowNanos))
                : Optional.empty();
    }

    /** Returns whether a server is cold. */
    public boolean isCold(ServerRun server, long nowNanos) {
        return rate(server, nowNanos).isLimited();
    }

    @Override
    public synchronized ServerRate rate(ServerRun server, long nowNanos) {
        Cold cold = mCold.get(server);
        if (cold == null || cold.untilNanos() - nowNanos <= 0) {
            return ServerRate.UNLIMITED;
        }
        return rateIfCold(cold.service(), cold.untilNanos() - nowNanos);
    }

    /**
     * Returns the limit of a server if it is taken for cold although it is not known to be.
     *
     * @param remainingNanos how long it is taken for cold
     */
    synchronized ServerRate rateIfCold(ServerRun server, long remainingNanos) {
        ServiceId service = mServices.get(server);
        return service == null ? ServerRate.UNLIMITED : rateIfCold(service, remainingNanos);
    }

    private ServerRate rateIfCold(ServiceId service, long remainingNanos) {
        ColdStart rule = mRules.apply(service);
        return rule.isDeclared()
                ? new ServerRate(rule.requestsPerSecond() * USED_FRACTION, remainingNanos, true)
                : ServerRate.UNLIMITED;
    }

    @Override
    public synchronized boolean isEmpty() {
        return mCold.isEmpty();
    }

    /** Forgets the servers that are no longer cold for a while, and the runs that have ended. */
    public synchronized void removeOld(Predicate<ServerRun> isRegistered, long nowNanos) {
        mServices.keySet().removeIf(isRegistered.negate());
        // Reports of what has ended still arrive.
        mCold.values().removeIf(cold -> nowNanos - cold.untilNanos() > REPORT_DELAY_NANOS);
    }
}
