package org.fuchsiaford.serverlimit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fuchsiaford.registry.ServerRun;

/**
 * The limits that backend servers name for the requests of all hosts together, as far as this host
 * knows them from responses and from other hosts.
 *
 * <p>Invariant: the newest response of a run of a server prevails, whichever host received it. A
 * limit ends with a response that names none or with the run, never by the passing of time, since a
 * server that is sent nothing says nothing. Thread-safe.
 */
public final class ServerLimits implements ServerRateSource {
    /** Time for which other hosts are told that a server names no limit any more. */
    private static final long LIFTED_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time for which a run that is not registered is remembered: its entry may come back. */
    private static final long UNREGISTERED_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<ServerRun, Statement> mStatements = new HashMap<>();

    private record Statement(double requestsPerSecond, long saidNanos) {
        boolean isLimit() {
            return requestsPerSecond < Double.POSITIVE_INFINITY;
        }
    }

    /**
     * Records what a server says in a response.
     *
     * @param requestsPerSecond the limit; infinite if it names none
     * @param saidNanos when a host received the response
     * @return whether the limit has changed
     */
    public synchronized boolean record(ServerRun server, double requestsPerSecond, long saidNanos) {
        Statement last = mStatements.get(server);
        Statement next = new Statement(requestsPerSecond, saidNanos);
        boolean outdated = last != null && saidNanos - last.saidNanos() < 0;
        if (outdated || last == null && !next.isLimit()) {
            return false;
        }
        mStatements.put(server, next);
        return last == null || last.requestsPerSecond() != requestsPerSecond;
    }

    /** Records what other hosts know, and returns what has changed. */
    public synchronized List<NamedLimit> merge(List<NamedLimit> reported, long nowNanos) {
        return reported.stream()
                .filter(
                        limit ->
                                record(
                                        limit.server(),
                                        limit.requestsPerSecond(),
                                        nowNanos
                                                - TimeUnit.MILLISECONDS.toNanos(limit.ageMillis())))
                .toList();
    }

    /** Returns the limit of a server in requests per second; infinite if it names none. */
    public synchronized double requestsPerSecond(ServerRun server) {
        Statement statement = mStatements.get(server);
        return statement == null ? Double.POSITIVE_INFINITY : statement.requestsPerSecond();
    }

    @Override
    public ServerRate rate(ServerRun server, long nowNanos) {
        return new ServerRate(requestsPerSecond(server), Long.MAX_VALUE, false);
    }

    /** Returns whether no server is known to name a limit, or to have named one lately. */
    @Override
    public synchronized boolean isEmpty() {
        return mStatements.isEmpty();
    }

    /** Returns whether a server names a limit. */
    public synchronized boolean isLimited(ServerRun server) {
        Statement statement = mStatements.get(server);
        return statement != null && statement.isLimit();
    }

    /** Returns what a server has last said, to tell a coordinator. */
    public synchronized NamedLimit find(ServerRun server, long nowNanos) {
        Statement unknown = new Statement(Double.POSITIVE_INFINITY, nowNanos);
        return toNamedLimit(server, mStatements.getOrDefault(server, unknown), nowNanos);
    }

    /** Returns what servers have said, up to a maximum age, to tell other hosts. */
    public synchronized List<NamedLimit> list(long maxAgeNanos, long nowNanos) {
        return mStatements.entrySet().stream()
                .filter(e -> nowNanos - e.getValue().saidNanos() <= maxAgeNanos)
                .map(e -> toNamedLimit(e.getKey(), e.getValue(), nowNanos))
                .toList();
    }

    private static NamedLimit toNamedLimit(ServerRun server, Statement statement, long nowNanos) {
        return new NamedLimit(
                server,
                statement.requestsPerSecond(),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - statement.saidNanos()));
    }

    /** Forgets the runs that have ended, and those that have named no limit for a while. */
    public synchronized void removeOld(Predicate<ServerRun> isRegistered, long nowNanos) {
        mStatements
                .entrySet()
                .removeIf(
                        e -> {
                            long ageNanos = nowNanos - e.getValue().saidNanos();
                            return !e.getValue().isLimit() && ageNanos > LIFTED_MEMORY_NANOS
                                    || ageNanos > UNREGISTERED_MEMORY_NANOS
                                            && !isRegistered.test(e.getKey());
                        });
    }
}
