package org.fuchsiaford.selection;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.LiveServer;

/**
 * Picks the server of a plain service for one request: the least loaded over all hosts, marked down
 * for recent failures, for answers slower than its peers' and for another failure domain.
 *
 * <p>Invariant: a paused server is only picked if all are paused, one that has failed the same
 * request only if no other is left. Thread-safe.
 */
public final class ServerSelector {
    /** A server that fails always counts as this many times full. */
    private static final double FAILURE_COST = 4;

    /** Each multiple of the fastest server's latency counts as this part of its seats. */
    private static final double SLOWNESS_COST = 0.5;

    /** Slower than this many times the fastest is a difference, less is chance. */
    private static final double USUAL_SPREAD = 2;

    /** Spreads equal choices of hosts that decide at the same moment. */
    private static final double JITTER = 0.1;

    /** Requests under way for each seat beyond which a server is full, its queue included. */
    private static final double FULL_AT = 3;

    private final LoadTracker mLoads;
    private final ServerHealth mHealth;
    private final ServerRanking mRanking;

    /**
     * Creates a selector.
     *
     * @param ownDomain the failure domain of this host
     * @param random evenly distributed numbers from 0 to 1
     */
    public ServerSelector(
            FailureDomainId ownDomain,
            LoadTracker loads,
            ServerHealth health,
            DoubleSupplier random) {
        mLoads = loads;
        mHealth = health;
        mRanking = new ServerRanking(ownDomain, health, random, FAILURE_COST, JITTER);
    }

    /**
     * Picks a server, or none if all are full.
     *
     * @param servers the servers that take new work
     * @param failed those that have failed this request
     */
    public Optional<LiveServer> pick(
            List<LiveServer> servers, Set<BackendServerId> failed, long nowNanos) {
        List<LiveServer> fresh =
                servers.stream().filter(server -> !failed.contains(server.id())).toList();
        List<LiveServer> able =
                mRanking.preferUnpaused(fresh.isEmpty() ? servers : fresh, nowNanos);
        double fastest = fastestNanos(able, nowNanos);
        return ServerRanking.sortByScore(
                        able.stream().filter(server -> load(server) < FULL_AT),
                        server -> score(server, fastest, nowNanos))
                .findFirst();
    }

    private double fastestNanos(List<LiveServer> servers, long nowNanos) {
        return servers.stream()
                .mapToDouble(server -> mHealth.latencyNanos(server.id(), nowNanos))
                .filter(nanos -> nanos > 0)
                .min()
                .orElse(0);
    }

    private double load(LiveServer server) {
        return (double) mLoads.total(server.id()).requests() / Math.max(1, server.seats());
    }

    private double score(LiveServer server, double fastestNanos, long nowNanos) {
        double latency = mHealth.latencyNanos(server.id(), nowNanos);
        double slowness = fastestNanos > 0 ? Math.max(0, latency / fastestNanos - USUAL_SPREAD) : 0;
        return load(server) + slowness * SLOWNESS_COST + mRanking.penalty(server, nowNanos);
    }
}
