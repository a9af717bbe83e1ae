package org.fuchsiaford.selection;

import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.LiveServer;

/**
 * Ranking rules shared by the selection of plain servers and of engines: the exclusion of paused
 * servers, and the penalties apart from load. Thread-safe.
 */
final class ServerRanking {
    /** A server in another failure domain is chosen if its load is lower by more than this. */
    private static final double REMOTE_DOMAIN_PENALTY = 0.25;

    private final ServerHealth mHealth;
    private final DoubleSupplier mRandom;
    private final double mFailurePenalty;
    private final double mJitter;

    private record Scored(LiveServer server, double score) {}

    /**
     * Creates a ranking.
     *
     * @param random source of uniformly distributed numbers in [0, 1)
     * @param failurePenalty penalty of a server that fails every request, as a load; 1 is the load
     *     of a server whose seats or KV cache are all in use
     * @param jitter random part of the score; spreads the choices of hosts that decide at once
     */
    ServerRanking(
            ServerHealth health, DoubleSupplier random, double failurePenalty, double jitter) {
        mHealth = health;
        mRandom = random;
        mFailurePenalty = failurePenalty;
        mJitter = jitter;
    }

    /** Returns the servers that are not paused, or all servers if all are paused. */
    List<LiveServer> preferUnpaused(List<LiveServer> servers, long nowNanos) {
        List<LiveServer> unpaused =
                servers.stream()
                        .filter(server -> !mHealth.isPaused(server.id(), nowNanos))
                        .toList();
        return unpaused.isEmpty() ? servers : unpaused;
    }

    /**
     * Returns what failures, a remote failure domain and jitter add to a score.
     *
     * @param domain the failure domain from which the server is used
     */
    double penalty(LiveServer server, FailureDomainId domain, long nowNanos) {
        return mHealth.failureRate(server.id(), nowNanos) * mFailurePenalty
                + (server.failureDomain().equals(domain) ? 0 : REMOTE_DOMAIN_PENALTY)
                + mRandom.getAsDouble() * mJitter;
    }

    /** Sorts servers by ascending score. Each is scored only once, since scores contain jitter. */
    static Stream<LiveServer> sortByScore(
            Stream<LiveServer> servers, ToDoubleFunction<LiveServer> score) {
        return servers.map(server -> new Scored(server, score.applyAsDouble(server)))
                .sorted(Comparator.comparingDouble(Scored::score))
                .map(Scored::server);
    }
}
