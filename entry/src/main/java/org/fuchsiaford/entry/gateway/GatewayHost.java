package org.fuchsiaford.entry.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.entry.gateway.fleet.HeartbeatExchange;
import org.fuchsiaford.entry.gateway.forward.Attempts;
import org.fuchsiaford.entry.gateway.forward.EngineGate;
import org.fuchsiaford.entry.gateway.forward.GatewayServer;
import org.fuchsiaford.entry.gateway.forward.PlainCourse;
import org.fuchsiaford.entry.gateway.forward.PrefillCall;
import org.fuchsiaford.entry.gateway.forward.RetryBudgets;
import org.fuchsiaford.entry.gateway.forward.RouteGate;
import org.fuchsiaford.entry.gateway.forward.ServerClient;
import org.fuchsiaford.entry.gateway.forward.StreamCourse;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.order.StageController;
import org.fuchsiaford.entry.gateway.order.StageControllerFactory;
import org.fuchsiaford.entry.gateway.protocol.Adapter;
import org.fuchsiaford.entry.gateway.protocol.HostStatus;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.gateway.state.StateFollower;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.PrometheusText;
import org.fuchsiaford.entry.metrics.ServiceMetrics;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.PendingOrders;
import org.fuchsiaford.peer.PeerServer;
import org.fuchsiaford.peer.TcpPeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.quota.FleetQuota;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.selection.EnginePlanner;
import org.fuchsiaford.selection.EngineQueues;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.selection.ServerSelector;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * An entry host that follows a live registry through an {@link Adapter}: wires all parts together,
 * starts and stops them.
 *
 * <p>Invariant: a host is ready only while it knows a declaration and is not leaving; one that
 * leaves is first out of every answer which hosts to use and ends only when callers had time to go.
 * Thread-safe.
 */
public final class GatewayHost implements HostStatus {
    /** Callers keep an answer which hosts to use up to three times as long as it says. */
    private static final int CALLER_LIFE_FACTOR = 3;

    /** Callers' own clocks and calls take this long beyond the life of an answer. */
    private static final long CALLER_MARGIN_MILLIS = 200;

    /** The end of the grace period that is kept for ending the process itself. */
    private static final long EXIT_MILLIS = 500;

    private static final Duration POLL = Duration.ofMillis(50);
    private static final Duration STORE_PATIENCE = Duration.ofMillis(200);

    private final GatewaySettings mSettings;
    private final Adapter mAdapter;
    private final Ticker mTicker = Ticker.SYSTEM;
    private final EntryMetrics mMetrics = new EntryMetrics();
    private final DecisionLog mLog;
    private final FleetView mFleet;
    private final GatewayState mState;
    private final StateFollower mFollower;
    private final HeartbeatExchange mPulses;
    private final StageController mStages;
    private final PeerServer mPeerServer;
    private final GatewayServer mServer;
    private final List<DisposableServer> mServers = new ArrayList<>();
    private volatile boolean mLeaving;

    /** Wires a host; it runs once {@link #start} is called. */
    public GatewayHost(GatewaySettings settings, Adapter adapter) {
        mSettings = settings;
        mAdapter = adapter;
        mLog = new DecisionLog(settings.hostName());
        mFleet = new FleetView(self(settings));
        ServerHealth health = new ServerHealth();
        LoadTracker loads = new LoadTracker();
        EngineQueues queues = new EngineQueues();
        FleetQuota quota = new FleetQuota(mTicker.nowNanos());
        mState =
                new GatewayState(
                        adapter.stateDecoder(),
                        new ServerRegistry(),
                        mFleet,
                        mLog,
                        mTicker,
                        health::remove);
        Store store = adapter.store(settings);
        mFollower =
                new StateFollower(
                        store,
                        mState,
                        mFleet.self(),
                        settings.registrationSeconds(),
                        mLog,
                        mTicker);
        mPulses =
                new HeartbeatExchange(
                        mFleet,
                        quota,
                        loads,
                        queues,
                        mState,
                        new TcpPeerClient(),
                        settings.seedPeers(),
                        mLog,
                        mTicker,
                        this::isReady);
        mStages =
                StageControllerFactory.create(
                        mState,
                        store,
                        adapter.orderProtocol(),
                        mFleet.self().id(),
                        settings.orderLeaseSeconds(),
                        new PendingOrders(loads, mPulses::scheduleLoadUpdate),
                        mLog,
                        mTicker);
        mPeerServer = new PeerServer(settings.peerAddress(), this::answer);
        mServer =
                server(
                        health,
                        loads,
                        queues,
                        new RouteGate(mState, quota, mPulses::scheduleLoadUpdate, mTicker));
    }

    private static HostRecord self(GatewaySettings settings) {
        return new HostRecord(
                new HostId(settings.hostName() + "-" + UUID.randomUUID()),
                settings.failureDomain(),
                settings.callerAddress().toString(),
                settings.peerAddress().toString());
    }

    private GatewayServer server(
            ServerHealth health, LoadTracker loads, EngineQueues queues, RouteGate gate) {
        FailureDomainId domain = mSettings.failureDomain();
        ServerClient client = new ServerClient(mAdapter.serverProtocol());
        RetryBudgets budgets =
                new RetryBudgets(
                        mSettings.retryWindowMillis(),
                        mSettings.retryRatio(),
                        mSettings.retrySlack(),
                        () -> mFleet.presentCount(mTicker.nowNanos()),
                        mTicker);
        Attempts attempts =
                new Attempts(
                        health, budgets, new ServiceMetrics(mMetrics.registry()), mLog, mTicker);
        EnginePlanner planner = new EnginePlanner(domain, loads, health, GatewayHost::draw);
        ServerSelector selector = new ServerSelector(domain, loads, health, GatewayHost::draw);
        EngineGate engines =
                new EngineGate(
                        mState,
                        mFleet,
                        loads,
                        planner,
                        queues,
                        mPulses::scheduleLoadUpdate,
                        GatewayHost::draw,
                        mLog,
                        mTicker);
        PrefillCall prefill =
                new PrefillCall(
                        client, mAdapter.serverProtocol(), loads, planner, attempts, mTicker);
        return new GatewayServer(
                mSettings.callerAddress(),
                mAdapter.callerProtocol(),
                gate,
                new PlainCourse(mState, gate, selector, loads, client, attempts, mLog, mTicker),
                new StreamCourse(
                        mState, gate, engines, loads, client, prefill, attempts, mLog, mTicker),
                mMetrics,
                mLog,
                mTicker);
    }

    private static double draw() {
        return ThreadLocalRandom.current().nextDouble();
    }

    private Mono<PeerMessage> answer(PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat pulse) {
            return Mono.just(mPulses.handle(pulse));
        }
        if (message instanceof PeerMessage.LoadUpdate loads) {
            return Mono.just(mPulses.handle(loads));
        }
        if (message instanceof PeerMessage.FetchStoreEntries) {
            return Mono.just(mPulses.storeEntries());
        }
        return Mono.just(new PeerMessage.Failure("not a request"));
    }

    @Override
    public boolean isReady() {
        return !mLeaving && mState.table().isPresent();
    }

    @Override
    public List<String> callerAddresses(FailureDomainId domain) {
        return mFleet.callerAddresses(domain, isReady(), mTicker.nowNanos());
    }

    /**
     * Starts to listen and to take part; completes once all ports are open. Callers' port comes
     * first: whoever connects while the rest starts is told when to come back.
     */
    public Mono<Void> start() {
        mLog.start();
        return mServer.start()
                .doOnNext(mServers::add)
                .then(Mono.defer(() -> mAdapter.startEndpoints(mSettings, this)))
                .doOnNext(mServers::addAll)
                .doOnNext(endpoints -> mFollower.start())
                .then(Mono.defer(mPeerServer::start))
                .doOnNext(mServers::add)
                .then(Mono.defer(this::startMetrics))
                .doOnNext(mServers::add)
                .doOnNext(server -> startPulses())
                .then();
    }

    private void startPulses() {
        mPulses.start();
        mStages.start();
        mLog.write(new Decision.Lifecycle("started", mSettings.callerAddress().toString()));
    }

    private Mono<? extends DisposableServer> startMetrics() {
        return HttpServer.create()
                .host(mSettings.metricsAddress().host())
                .port(mSettings.metricsAddress().port())
                .route(
                        routes ->
                                routes.get(
                                        "/metrics",
                                        (request, response) ->
                                                response.sendString(
                                                        Mono.fromSupplier(this::metricsText))))
                .bind();
    }

    private String metricsText() {
        return PrometheusText.write(mMetrics.registry());
    }

    /** Notes new settings in the log; they take effect with the next start. */
    public void logReload(String outcome) {
        mLog.write(new Decision.Lifecycle("reloaded", outcome));
    }

    /** Leaves: out of all answers at once, serves on until callers have gone, then ends. */
    public Mono<Void> stop() {
        long startNanos = mTicker.nowNanos();
        long callersGoneMillis =
                TimeUnit.SECONDS.toMillis(mSettings.addressLifeSeconds()) * CALLER_LIFE_FACTOR
                        + CALLER_MARGIN_MILLIS;
        long endMillis = mSettings.graceMillis() - EXIT_MILLIS;
        mLeaving = true;
        mServer.startLeaving(startNanos + TimeUnit.MILLISECONDS.toNanos(callersGoneMillis));
        mStages.stop().timeout(STORE_PATIENCE).onErrorComplete().subscribe();
        mLog.write(new Decision.Lifecycle("leaving", mServer.inFlight() + " in flight"));
        return mPulses.sendToAll()
                .onErrorResume(e -> Mono.empty())
                .then(Mono.defer(() -> until(startNanos, callersGoneMillis, endMillis)))
                .then(Mono.defer(this::close));
    }

    private Mono<Void> until(long startNanos, long callersGoneMillis, long endMillis) {
        return Mono.delay(POLL)
                .repeat(
                        () -> {
                            long nowNanos = mTicker.nowNanos();
                            long waited = TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
                            boolean idle = mServer.inFlight() == 0;
                            boolean done = waited >= callersGoneMillis && idle;
                            return !done && waited < endMillis;
                        })
                .then();
    }

    /** Ends at once, whatever runs; completes when all ports are closed. */
    public Mono<Void> close() {
        mPulses.stop();
        mLog.write(new Decision.Lifecycle("stopped", mServer.inFlight() + " in flight"));
        return mFollower
                .stop()
                .timeout(STORE_PATIENCE)
                .onErrorResume(e -> Mono.empty())
                .thenMany(Flux.fromIterable(mServers).doOnNext(DisposableServer::dispose))
                .then(Mono.fromRunnable(mLog::flush));
    }
}
