package org.fuchsiaford.entry.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.entry.gateway.engine.EngineReportClient;
import org.fuchsiaford.entry.gateway.engine.EngineRuns;
import org.fuchsiaford.entry.gateway.fleet.Coordination;
import org.fuchsiaford.entry.gateway.fleet.PlacementSettings;
import org.fuchsiaford.entry.gateway.forward.GatewayServer;
import org.fuchsiaford.entry.gateway.forward.HostShutdown;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.order.StageController;
import org.fuchsiaford.entry.gateway.order.StageControllerFactory;
import org.fuchsiaford.entry.gateway.protocol.Adapter;
import org.fuchsiaford.entry.gateway.protocol.PublishedStatus;
import org.fuchsiaford.entry.gateway.protocol.WatchTiming;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.gateway.state.StateFollower;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.PrometheusText;
import org.fuchsiaford.entry.metrics.ServiceMetrics;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.StageSplitPolicy;
import org.fuchsiaford.peer.PeerServer;
import org.fuchsiaford.peer.TcpPeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.registry.EvacuatedDomains;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * An entry host that follows a live registry through an {@link Adapter}. Creates, starts and stops
 * its components.
 *
 * <p>Invariant: a host is ready only while it has a routing table and is not shutting down. On
 * shutdown it first disappears from the addresses given to callers, and exits only after callers
 * had time to switch to other hosts. Thread-safe.
 */
public final class GatewayHost implements PublishedStatus {
    /** Callers cache host addresses for up to three times the lifetime stated in the response. */
    private static final int CALLER_CACHE_FACTOR = 3;

    /**
     * Allowance beyond the lifetime of cached addresses for callers' clocks and calls, and for the
     * time until other hosts no longer name this one.
     */
    private static final long CALLER_MARGIN_MILLIS = 700;

    /** Time from the send of a request by its caller until this host sends it on. */
    private static final long ARRIVAL_MARGIN_MILLIS = 150;

    /** The part of the grace period that is reserved for responses to ended requests and exit. */
    private static final int EXIT_RESERVE_DIVISOR = 8;

    private static final long MIN_EXIT_RESERVE_MILLIS = 500;

    private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(50);
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(200);

    /** Time within which other hosts learn that this one stops, if they can be reached. */
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofMillis(500);

    private final GatewaySettings mSettings;
    private final Adapter mAdapter;
    private final Ticker mTicker = Ticker.SYSTEM;
    private final HostShutdown mShutdown = new HostShutdown(mTicker);
    private final EntryMetrics mMetrics = new EntryMetrics();
    private final ServiceMetrics mServiceMetrics = new ServiceMetrics(mMetrics.registry());
    private final DecisionLog mLog;
    private final FleetView mFleet;
    private final GatewayState mState;
    private final StateFollower mFollower;
    private final EngineRuns mEngineRuns;
    private final Coordination mCoordination;
    private final StageController mStageController;
    private final PeerServer mPeerServer;
    private final GatewayServer mGatewayServer;
    private final List<DisposableServer> mBoundServers = new CopyOnWriteArrayList<>();
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile boolean mShuttingDown;

    /** Creates a host; it is inactive until {@link #start} is called. */
    public GatewayHost(GatewaySettings settings, Adapter adapter) {
        mSettings = settings;
        mAdapter = adapter;
        mLog = new DecisionLog(settings.hostName());
        mFleet = new FleetView(createSelf(settings));
        ServerHealth health = new ServerHealth();
        LoadTracker loads = new LoadTracker();
        mState = createState(health);
        Store store =
                adapter.store(
                        settings, WatchTiming.of(this::watchIntervalNanos, this::watchWaitMillis));
        mFollower =
                new StateFollower(
                        store,
                        mState,
                        mFleet.self(),
                        settings.registrationSeconds(),
                        mLog,
                        mTicker);
        mCoordination =
                new Coordination(
                        mFleet,
                        mState,
                        store,
                        health,
                        loads,
                        new TcpPeerClient(),
                        TimeUnit.MILLISECONDS.toNanos(settings.limitWindowMillis()),
                        settings.seedPeers(),
                        GatewayHost::randomFraction,
                        mLog,
                        mTicker,
                        mFollower,
                        this::isReady,
                        placement(settings));
        mEngineRuns =
                new EngineRuns(
                        new EngineReportClient(adapter.orderProtocol()),
                        mFollower::isRegistryCurrent,
                        mState.servers()::isRegistered,
                        mLog,
                        mTicker);
        mStageController = createStageController(store, loads);
        mMetrics.registerGauge("evacuated_domains", mState.servers().evacuated()::size);
        mPeerServer = new PeerServer(settings.peerAddress(), this::handle);
        mGatewayServer = createServer(health, loads);
    }

    private StageController createStageController(Store store, LoadTracker loads) {
        return new StageControllerFactory(
                        mState,
                        store,
                        mAdapter.orderProtocol(),
                        mCoordination,
                        loads,
                        mServiceMetrics,
                        mLog,
                        mTicker)
                .create(mSettings.orderLeaseSeconds(), mSettings.measuredStageSplit());
    }

    private static PlacementSettings placement(GatewaySettings settings) {
        return new PlacementSettings(
                settings.measuredStageSplit()
                        ? StageSplitPolicy.MIN_SERVICE_ENGINES
                        : Integer.MAX_VALUE,
                settings.fairQueue());
    }

    private GatewayServer createServer(ServerHealth health, LoadTracker loads) {
        return new GatewayServerFactory(
                        mSettings,
                        mAdapter,
                        mFleet,
                        mState,
                        mCoordination,
                        mEngineRuns,
                        mShutdown,
                        mMetrics,
                        mServiceMetrics,
                        GatewayHost::randomFraction,
                        mLog,
                        mTicker)
                .create(health, loads);
    }

    private void serverStarted(
            ServerHealth health, LiveServer server, Optional<LiveServer> before) {
        health.remove(server.id());
        mCoordination.origins().serverStarted(server, before);
    }

    private GatewayState createState(ServerHealth health) {
        return new GatewayState(
                mAdapter.stateDecoder(),
                new ServerRegistry(new EvacuatedDomains(this::evacuationEnds), mSettings.regions()),
                mFleet,
                mLog,
                mTicker,
                (server, before) -> serverStarted(health, server, before));
    }

    /** The servers of a failure domain that was evacuated until now have been idle. */
    private void evacuationEnds(FailureDomainId domain) {
        List<LiveServer> servers =
                mState.servers().registered().stream()
                        .filter(server -> server.failureDomain().equals(domain))
                        .toList();
        mState.cold().markCold(servers, "evacuation ended");
    }

    private long watchIntervalNanos() {
        return mCoordination.watchIntervalNanos();
    }

    private long watchWaitMillis() {
        return mCoordination.watchWaitMillis();
    }

    private static HostRecord createSelf(GatewaySettings settings) {
        return new HostRecord(
                new HostId(settings.hostName() + "-" + UUID.randomUUID()),
                settings.failureDomain(),
                settings.callerAddress().toString(),
                settings.peerAddress().toString(),
                settings.cores());
    }

    private static double randomFraction() {
        return ThreadLocalRandom.current().nextDouble();
    }

    private Mono<PeerMessage> handle(PeerMessage message) {
        return mCoordination
                .handle(message)
                .orElseGet(() -> Mono.just(new PeerMessage.Failure("not a request")));
    }

    @Override
    public boolean isReady() {
        return !mShuttingDown && mState.table().isPresent();
    }

    @Override
    public List<String> callerAddresses(FailureDomainId domain, Optional<RegionId> region) {
        return mFleet.callerAddresses(
                domain, region, mSettings.regions(), isReady(), mTicker.nowNanos());
    }

    /**
     * Starts the host; completes once all ports are open. The port for callers is opened first:
     * requests that arrive while the rest starts are refused with a time after which to retry.
     */
    public Mono<Void> start() {
        mLog.start();
        return mGatewayServer
                .start()
                .doOnNext(mBoundServers::add)
                .then(Mono.defer(() -> mAdapter.startEndpoints(mSettings, this)))
                .doOnNext(mBoundServers::addAll)
                .doOnNext(endpoints -> mFollower.start())
                .then(Mono.defer(mPeerServer::start))
                .doOnNext(mBoundServers::add)
                .then(Mono.defer(this::startMetrics))
                .doOnNext(mBoundServers::add)
                .doOnNext(server -> startBackgroundTasks())
                .then();
    }

    private void startBackgroundTasks() {
        mCoordination.heartbeats().start();
        mCoordination.origins().start();
        mStageController.start();
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

    /** Logs the result of checking changed settings, which take effect at the next start. */
    public void logReload(String outcome) {
        mLog.write(new Decision.Lifecycle("reloaded", outcome));
    }

    /**
     * Shuts down gracefully: withdraws the host's address at once, continues to serve until callers
     * have switched to other hosts or the grace period ends, then ends what is in progress and
     * closes.
     */
    public Mono<Void> stop() {
        long startNanos = mTicker.nowNanos();
        long switchedNanos =
                startNanos
                        + TimeUnit.SECONDS.toNanos(
                                mSettings.addressLifeSeconds() * CALLER_CACHE_FACTOR)
                        + TimeUnit.MILLISECONDS.toNanos(CALLER_MARGIN_MILLIS);
        long endMillis = mSettings.graceMillis() - reserveMillis();
        long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(endMillis);
        mShuttingDown = true;
        long leaveNanos =
                startNanos
                        + TimeUnit.SECONDS.toNanos(mSettings.addressLifeSeconds())
                        + TimeUnit.MILLISECONDS.toNanos(ARRIVAL_MARGIN_MILLIS);
        mShutdown.begin(leaveNanos, endNanos);
        mStageController.stop().timeout(STORE_TIMEOUT).onErrorComplete().subscribe();
        mLog.write(
                new Decision.Lifecycle(
                        "leaving",
                        mGatewayServer.inFlightRequests()
                                + " in flight, which may take up to "
                                + endMillis
                                + " ms"));
        return mCoordination
                .heartbeats()
                .sendNow()
                .timeout(ANNOUNCE_TIMEOUT)
                .onErrorResume(e -> Mono.empty())
                .then(Mono.defer(() -> waitUntilIdle(switchedNanos, endNanos)))
                .then(Mono.fromRunnable(this::refuseRequests))
                .then(Mono.defer(() -> waitUntilIdle(switchedNanos, endNanos)))
                .then(Mono.defer(this::endRequests))
                .then(Mono.fromRunnable(this::closeServers));
    }

    /** Waits until callers have switched and all requests are answered, or until the end. */
    private Mono<Void> waitUntilIdle(long switchedNanos, long endNanos) {
        return Mono.delay(IDLE_POLL_INTERVAL)
                .repeat(
                        () -> {
                            long nowNanos = mTicker.nowNanos();
                            boolean idle = mGatewayServer.inFlightRequests() == 0;
                            boolean done = nowNanos - switchedNanos >= 0 && idle;
                            return !done && nowNanos - endNanos < 0;
                        })
                .then();
    }

    /** Closes all ports; requests that arrive on open connections are refused. */
    private void refuseRequests() {
        mShutdown.close();
        mBoundServers.forEach(DisposableServer::dispose);
        unregister().subscribe();
    }

    /** Ends the requests that are still in progress, and waits until they are answered. */
    private Mono<Void> endRequests() {
        mLog.write(
                new Decision.Lifecycle("ending", mGatewayServer.inFlightRequests() + " in flight"));
        mShutdown.end().forEach(mLog::write);
        long nowNanos = mTicker.nowNanos();
        return waitUntilIdle(
                nowNanos, nowNanos + TimeUnit.MILLISECONDS.toNanos(reserveMillis() / 2));
    }

    /**
     * Returns the part of the grace period, after requests were ended, for the end of the process.
     */
    private long reserveMillis() {
        return Math.max(MIN_EXIT_RESERVE_MILLIS, mSettings.graceMillis() / EXIT_RESERVE_DIVISOR);
    }

    /** Stops at once, aborting requests in progress; completes once all ports are closed. */
    public Mono<Void> close() {
        return unregister().then(Mono.fromRunnable(this::closeServers));
    }

    private Mono<Void> unregister() {
        return mFollower.stop().timeout(STORE_TIMEOUT).onErrorResume(e -> Mono.empty());
    }

    private void closeServers() {
        if (!mClosed.compareAndSet(false, true)) {
            return;
        }
        mBoundServers.forEach(DisposableServer::dispose);
        mGatewayServer.closeConnections();
        mCoordination.heartbeats().stop();
        mCoordination.origins().stop();
        mLog.write(
                new Decision.Lifecycle(
                        "stopped", mGatewayServer.inFlightRequests() + " in flight"));
        mLog.flush();
    }
}
