package org.fuchsiaford.selection;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.LiveServer;

/**
 * Selects the server of a plain service for a request: the one with the least load over all hosts,
 * with penalties for recent failures, for higher latency than its peers and for another failure
 * domain.
 *
 * <p>Invariant: a paused server is selected only if all candidates are paused, and a server that
 * failed the same request only if no other is left. Thread-safe.
 */
public final class ServerSelector {
    /** Penalty of a server that fails every request, as a load in requests per seat. */
    private static final double FAILURE_PENALTY = 4;

    /** Penalty per multiple of the fastest server's latency, as a load in requests per seat. */
    private static final double SLOWNESS_PENALTY = 0.5;

    /** Latencies up to this multiple of the fastest server's are regarded as noise. */
    private static final double TOLERATED_LATENCY_RATIO = 2;

    /** Random part of the score; spreads the choices of hosts that decide at the same moment. */
    private static final double JITTER = 0.1;

    /** Requests in progress per seat, queued ones included, at which a server is full. */
    private static final double MAX_REQUESTS_PER_SEAT = 3;

    private final FailureDomainId mOwnDomain;
    private final LoadTracker mLoads;
    private final ServerHealth mHealth;
    private final ServerRanking mRanking;

    /**
     * Creates a selector.
     *
     * @param ownDomain the failure domain of this host
     * @param random source of uniformly distributed numbers in [0, 1)
     */
    public ServerSelector(
            FailureDomainId ownDomain,
            LoadTracker loads,
            ServerHealth health,
            DoubleSupplier random) {
        mOwnDomain = ownDomain;
        mLoads = loads;
        mHealth = health;
        mRanking = new ServerRanking(health, random, FAILURE_PENALTY, JITTER);
    }

    /**
     * Selects a server, or none if all are full.
     *
     * @param servers the servers that accept new requests
     * @param failed the servers that have already failed this request
     */
    public Optional<LiveServer> pick(
            List<LiveServer> servers, Set<BackendServerId> failed, long nowNanos) {
        List<LiveServer> untried =
                servers.stream().filter(server -> !failed.contains(server.id())).toList();
        List<LiveServer> candidates =
                mRanking.preferUnpaused(untried.isEmpty() ? servers : untried, nowNanos);
        double fastest = fastestNanos(candidates, nowNanos);
        return ServerRanking.sortByScore(
                        candidates.stream().filter(server -> load(server) < MAX_REQUESTS_PER_SEAT),
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
        return (double) mLoads.total(server.id()).requests()
                / Math.max(1, server.maxConcurrentRequests());
    }

    private double score(LiveServer server, double fastestNanos, long nowNanos) {
        double latency = mHealth.latencyNanos(server.id(), nowNanos);
        double slowness =
                fastestNanos > 0
                        ? Math.max(0, latency / fastestNanos - TOLERATED_LATENCY_RATIO)
                        : 0;
        return load(server)
                + slowness * SLOWNESS_PENALTY
                + mRanking.penalty(server, mOwnDomain, nowNanos);
    }
}
