package org.fuchsiaford.entry.gateway;

import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.entry.gateway.engine.EngineRuns;
import org.fuchsiaford.entry.gateway.fleet.Coordination;
import org.fuchsiaford.entry.gateway.fleet.CoordinatorCalls;
import org.fuchsiaford.entry.gateway.forward.AttemptRecorder;
import org.fuchsiaford.entry.gateway.forward.BufferedForwarder;
import org.fuchsiaford.entry.gateway.forward.EngineAdmission;
import org.fuchsiaford.entry.gateway.forward.GatewayServer;
import org.fuchsiaford.entry.gateway.forward.HostShutdown;
import org.fuchsiaford.entry.gateway.forward.PrefillClient;
import org.fuchsiaford.entry.gateway.forward.ResponseMemory;
import org.fuchsiaford.entry.gateway.forward.RetryBudgets;
import org.fuchsiaford.entry.gateway.forward.RouteAdmission;
import org.fuchsiaford.entry.gateway.forward.SeatAdmission;
import org.fuchsiaford.entry.gateway.forward.ServerClient;
import org.fuchsiaford.entry.gateway.forward.ServerNotices;
import org.fuchsiaford.entry.gateway.forward.StreamForwarder;
import org.fuchsiaford.entry.gateway.forward.StreamVersions;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.Adapter;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.ServiceMetrics;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerBackoff;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.selection.ServerSelector;
import org.fuchsiaford.time.Ticker;

/**
 * Creates the server for callers of a host with the components that forward requests. Holds no
 * state of its own, hence thread-safe.
 */
final class GatewayServerFactory {
    private final GatewaySettings mSettings;
    private final Adapter mAdapter;
    private final FleetView mFleet;
    private final GatewayState mState;
    private final Coordination mCoordination;
    private final EngineRuns mEngineRuns;
    private final HostShutdown mShutdown;
    private final EntryMetrics mMetrics;
    private final ServiceMetrics mServiceMetrics;
    private final DoubleSupplier mRandom;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    GatewayServerFactory(
            GatewaySettings settings,
            Adapter adapter,
            FleetView fleet,
            GatewayState state,
            Coordination coordination,
            EngineRuns engineRuns,
            HostShutdown shutdown,
            EntryMetrics metrics,
            ServiceMetrics serviceMetrics,
            DoubleSupplier random,
            DecisionLog log,
            Ticker ticker) {
        mSettings = settings;
        mAdapter = adapter;
        mFleet = fleet;
        mState = state;
        mCoordination = coordination;
        mEngineRuns = engineRuns;
        mShutdown = shutdown;
        mMetrics = metrics;
        mServiceMetrics = serviceMetrics;
        mRandom = random;
        mLog = log;
        mTicker = ticker;
    }

    /**
     * Creates the server.
     *
     * @param health the health of backend servers as seen by this host
     * @param loads the load of all hosts on backend servers
     */
    GatewayServer create(ServerHealth health, LoadTracker loads) {
        HostMemory hostMemory = HostMemory.create(mSettings, mMetrics.registry(), mLog, mTicker);
        RouteAdmission routeAdmission =
                new RouteAdmission(mState, mCoordination.charging(), mShutdown);
        ServerBackoff backoff = new ServerBackoff();
        connectServerRates();
        ServerNotices notices = createNotices(backoff);
        ServerClient client =
                new ServerClient(mAdapter.serverProtocol(), notices, hostMemory.serverBytes());
        ResponseMemory memory = hostMemory.responses();
        AttemptRecorder attempts = createAttemptRecorder(health);
        ServerSelector selector =
                new ServerSelector(mSettings.failureDomain(), loads, health, mRandom);
        return new GatewayServer(
                mSettings.callerAddress(),
                mAdapter.callerProtocol(),
                routeAdmission,
                new BufferedForwarder(
                        mState,
                        backoff,
                        mCoordination.permits(),
                        mCoordination.requestQuarantine(),
                        routeAdmission,
                        selector,
                        SeatAdmission.create(
                                mSettings.sharedSeats(),
                                mCoordination,
                                loads,
                                mServiceMetrics,
                                mTicker),
                        loads,
                        client,
                        memory,
                        attempts,
                        mRandom,
                        mLog,
                        mTicker),
                createStreamForwarder(backoff, routeAdmission, loads, client, memory, attempts),
                mShutdown,
                hostMemory.connections(),
                hostMemory.requests(),
                mMetrics,
                mLog,
                mTicker);
    }

    private void connectServerRates() {
        mState.cold().onCold(service -> mServiceMetrics.countNotice(service, "cold"));
        if (mSettings.serverPace()) {
            mState.pace().enable(service -> mServiceMetrics.countNotice(service, "paced"));
        }
    }

    private StreamForwarder createStreamForwarder(
            ServerBackoff backoff,
            RouteAdmission routeAdmission,
            LoadTracker loads,
            ServerClient client,
            ResponseMemory memory,
            AttemptRecorder attempts) {
        return new StreamForwarder(
                mState,
                backoff,
                routeAdmission,
                createEngineAdmission(backoff, loads),
                mState,
                loads,
                client,
                memory,
                new PrefillClient(client, memory, mAdapter.serverProtocol(), attempts, mTicker),
                createStreamVersions(),
                attempts,
                mLog,
                mTicker);
    }

    private StreamVersions createStreamVersions() {
        return new StreamVersions(
                mState, mState, mCoordination.origins(), mEngineRuns, mLog, mTicker);
    }

    private AttemptRecorder createAttemptRecorder(ServerHealth health) {
        RetryBudgets budgets =
                new RetryBudgets(
                        mSettings.retryWindowMillis(),
                        mSettings.retryRatio(),
                        mSettings.retrySlack(),
                        () -> mFleet.presentCount(mTicker.nowNanos()),
                        mTicker);
        return new AttemptRecorder(
                health,
                budgets,
                mCoordination.tally(),
                mServiceMetrics,
                this::reportFailure,
                mLog,
                mTicker);
    }

    private ServerNotices createNotices(ServerBackoff backoff) {
        return new ServerNotices(
                mState,
                backoff,
                mCoordination.serverLimits(),
                () -> mCoordination.heartbeats().sendNow().subscribe(),
                mServiceMetrics,
                mLog,
                mTicker);
    }

    private EngineAdmission createEngineAdmission(ServerBackoff backoff, LoadTracker loads) {
        return new EngineAdmission(
                mState,
                backoff,
                mCoordination.calls(),
                mCoordination.dispatcher(),
                loads,
                mCoordination.held(),
                mLog,
                mTicker);
    }

    /** Reports failed calls to the coordinator, which schedules engines and limits servers. */
    private void reportFailure(LiveServer server, AttemptOutcome outcome) {
        CoordinatorCalls calls = mCoordination.calls();
        if (server.stage().isPresent()) {
            mEngineRuns.recordFailure(server, outcome);
        }
        Optional<HostRecord> coordinator = calls.remoteCoordinator();
        if (coordinator.isEmpty()) {
            mState.pace().recordFailure(server.id(), outcome);
            if (outcome == AttemptOutcome.NOT_SENT) {
                mState.cold().markUnreachable(server.id());
            }
        }
        if (server.stage().isPresent()
                || mState.pace().isEnabled()
                || mState.cold().servers().mayBeCold(server.service())) {
            coordinator.ifPresent(
                    c -> calls.report(c, EngineEvent.called(server.id(), outcome, 0)));
        }
    }
}
