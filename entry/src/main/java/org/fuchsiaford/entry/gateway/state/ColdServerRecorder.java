package org.fuchsiaford.entry.gateway.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.fleet.ServerOutcomes;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.routing.ColdStart;
import org.fuchsiaford.serverlimit.ColdServer;
import org.fuchsiaford.serverlimit.ColdServers;
import org.fuchsiaford.time.Ticker;

/**
 * Records which servers are cold, from registrations, failed calls and other hosts, and logs it.
 * Thread-safe.
 */
public final class ColdServerRecorder {
    private final ColdServers mServers;
    private final ServerRegistry mRegistry;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private volatile Consumer<ServiceId> mOnCold = service -> {};

    ColdServerRecorder(
            Function<ServiceId, ColdStart> rules,
            ServerRegistry registry,
            DecisionLog log,
            Ticker ticker) {
        mServers = new ColdServers(rules);
        mRegistry = registry;
        mLog = log;
        mTicker = ticker;
    }

    /** Calls a listener, which must not block, for each server that is found or reported cold. */
    public void onCold(Consumer<ServiceId> listener) {
        mOnCold = listener;
    }

    /** Returns the servers that are cold. */
    public ColdServers servers() {
        return mServers;
    }

    /** Records a registration. */
    void register(LiveServer server, OptionalLong remainingMillis, boolean isNewRun) {
        long nowNanos = mTicker.nowNanos();
        if (mServers.register(server, remainingMillis, isNewRun, nowNanos)) {
            log(server, isNewRun ? "started" : "registered", nowNanos);
        }
    }

    /** Records servers that count as cold from now on, since they got no requests until now. */
    public void markCold(Collection<LiveServer> servers, String cause) {
        long nowNanos = mTicker.nowNanos();
        servers.stream()
                .filter(server -> mServers.markCold(server, nowNanos))
                .forEach(server -> log(server, cause, nowNanos));
    }

    /** Records that a host has failed to connect to a server. */
    public void markUnreachable(BackendServerId id) {
        long nowNanos = mTicker.nowNanos();
        mRegistry
                .find(id)
                .filter(server -> mServers.markUnreachable(server, nowNanos))
                .ifPresent(server -> log(server, "unreachable", nowNanos));
    }

    /** Records the servers that have answered hosts. */
    public void recordOutcomes(List<ServerOutcomes> outcomes) {
        outcomes.stream()
                .filter(outcome -> outcome.calls() > outcome.failures())
                .forEach(outcome -> mServers.recordAnswer(outcome.server(), mTicker.nowNanos()));
    }

    /**
     * Records what another host knows.
     *
     * @param reported null from hosts of an earlier build
     */
    public void merge(List<ColdServer> reported, String source) {
        if (reported != null) {
            mServers.merge(reported, mTicker.nowNanos())
                    .forEach(cold -> log(cold, source, cold.remainingMillis()));
        }
    }

    private void log(LiveServer server, String source, long nowNanos) {
        Optional<ColdServer> cold = mServers.find(server.run(), nowNanos);
        cold.ifPresent(c -> log(c, source, c.remainingMillis()));
    }

    private void log(ColdServer cold, String source, long millis) {
        double requestsPerSecond =
                mServers.rate(cold.server(), mTicker.nowNanos()).requestsPerSecond();
        mOnCold.accept(cold.service());
        mLog.write(
                new Decision.ServerCold(
                        cold.server().id().value(),
                        cold.service().value(),
                        source,
                        millis,
                        requestsPerSecond));
    }
}
