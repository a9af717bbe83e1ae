package org.fuchsiaford.selection;

import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.LiveServer;

/**
 * What the choices of plain servers and of engines have in common: who is awake, and what speaks
 * against a server apart from its load. Thread-safe.
 */
final class ServerRanking {
    /** A server in another failure domain must have this part of its room more free. */
    private static final double OTHER_DOMAIN_COST = 0.25;

    private final FailureDomainId mOwnDomain;
    private final ServerHealth mHealth;
    private final DoubleSupplier mRandom;
    private final double mFailureCost;
    private final double mJitter;

    private record Scored(LiveServer server, double score) {}

    /**
     * Creates a ranking.
     *
     * @param random evenly distributed numbers from 0 to 1
     * @param failureCost a server that fails always counts as this many times full
     * @param jitter spreads equal choices of hosts that decide at the same moment
     */
    ServerRanking(
            FailureDomainId ownDomain,
            ServerHealth health,
            DoubleSupplier random,
            double failureCost,
            double jitter) {
        mOwnDomain = ownDomain;
        mHealth = health;
        mRandom = random;
        mFailureCost = failureCost;
        mJitter = jitter;
    }

    /** Returns the servers that are not paused, or all if all are. */
    List<LiveServer> preferUnpaused(List<LiveServer> servers, long nowNanos) {
        List<LiveServer> awake =
                servers.stream()
                        .filter(server -> !mHealth.isPaused(server.id(), nowNanos))
                        .toList();
        return awake.isEmpty() ? servers : awake;
    }

    /** Returns what failures, the failure domain and chance add to a score. */
    double penalty(LiveServer server, long nowNanos) {
        return mHealth.failureRate(server.id(), nowNanos) * mFailureCost
                + (server.failureDomain().equals(mOwnDomain) ? 0 : OTHER_DOMAIN_COST)
                + mRandom.getAsDouble() * mJitter;
    }

    /** Returns servers from the lowest score on; each is scored once, as scores hold chance. */
    static Stream<LiveServer> sortByScore(
            Stream<LiveServer> servers, ToDoubleFunction<LiveServer> score) {
        return servers.map(server -> new Scored(server, score.applyAsDouble(server)))
                .sorted(Comparator.comparingDouble(Scored::score))
                .map(Scored::server);
    }
}
