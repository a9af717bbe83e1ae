package org.fuchsiaford.entry.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.entry.gateway.fleet.Coordination;
import org.fuchsiaford.entry.gateway.fleet.CoordinatorCalls;
import org.fuchsiaford.entry.gateway.fleet.OriginTracker;
import org.fuchsiaford.entry.gateway.fleet.PlacementSettings;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.gateway.state.StateFollower;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.PeerException;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.peer.message.PeerMessage.EnginesResponse;
import org.fuchsiaford.registry.EvacuatedDomains;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.RequestAttributes;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.store.Store;
import reactor.core.publisher.Mono;

/** The coordination of one entry host, connected to fakes. Not thread-safe. */
final class FakeGateway {
    private static final long REGISTRATION_SECONDS = 6;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final TokenCounts TOKENS = new TokenCounts(100, 10);

    private final FakeGatewayFleet mFleet;
    private final String mAddress;
    private final FleetView mView;
    private final GatewayState mState;
    private final StateFollower mFollower;
    private final Coordination mCoordination;

    FakeGateway(FakeGatewayFleet fleet, String address, String name, FailureDomainId domain) {
        mFleet = fleet;
        mAddress = address;
        mView = new FleetView(new HostRecord(new HostId(name), domain, address, address, 1));
        DecisionLog log = new DecisionLog(name);
        ServerHealth health = new ServerHealth();
        mState =
                new GatewayState(
                        new FakeGatewayFleet.Decoder(),
                        new ServerRegistry(
                                new EvacuatedDomains(ended -> {}), FakeGatewayFleet.REGIONS),
                        mView,
                        log,
                        fleet.time(),
                        this::serverStarted);
        Store store = fleet.store().viewOf(address, this::watchInterval);
        mFollower =
                new StateFollower(
                        store, mState, mView.self(), REGISTRATION_SECONDS, log, fleet.time());
        mCoordination =
                new Coordination(
                        mView,
                        mState,
                        store,
                        health,
                        new LoadTracker(),
                        new FakePeerClient(),
                        TimeUnit.SECONDS.toNanos(8),
                        List.of(),
                        fleet.random()::nextDouble,
                        log,
                        fleet.time(),
                        mFollower,
                        () -> true,
                        PlacementSettings.DEFAULT);
    }

    private final class FakePeerClient implements PeerClient {
        @Override
        public <T extends PeerMessage> Mono<T> call(
                PeerAddress peer, PeerMessage request, Class<T> type, Duration timeout) {
            return mFleet.network()
                    .call(
                            mAddress,
                            peer.toString(),
                            timeout,
                            () -> mFleet.deliver(peer.toString(), request))
                    .cast(type)
                    .onErrorMap(e -> new PeerException(peer, String.valueOf(e.getMessage()), e));
        }
    }

    private Duration watchInterval() {
        return Duration.ofNanos(mCoordination.watchIntervalNanos());
    }

    private void serverStarted(LiveServer server, Optional<LiveServer> before) {
        mCoordination.origins().serverStarted(server, before);
    }

    void start() {
        mFollower.start();
        mCoordination.heartbeats().start();
        mCoordination.origins().start();
    }

    void stop() {
        mCoordination.origins().stop();
        mCoordination.heartbeats().stop();
        mFollower.stop().subscribe(done -> {}, e -> {});
    }

    String address() {
        return mAddress;
    }

    /** Returns the addresses that callers in a failure domain are given. */
    List<String> callerAddresses(FailureDomainId domain) {
        return mView.callerAddresses(
                domain,
                FakeGatewayFleet.REGIONS.regionOf(domain),
                FakeGatewayFleet.REGIONS,
                true,
                mFleet.time().nowNanos());
    }

    GatewayState state() {
        return mState;
    }

    OriginTracker origins() {
        return mCoordination.origins();
    }

    boolean isCoordinator() {
        return mCoordination.calls().isCoordinator();
    }

    Mono<PeerMessage> handle(PeerMessage message) {
        return mCoordination
                .handle(message)
                .orElseGet(() -> Mono.just(new PeerMessage.Failure("not a request")));
    }

    /** Acquires an engine as a request does, and releases it at once. */
    Mono<LiveServer> acquire(RequestId request, Optional<SoftwareVersion> version) {
        return acquire(request, version, List.of());
    }

    /** Acquires an engine in one of the regions, or any if there are none. */
    Mono<LiveServer> acquire(
            RequestId request, Optional<SoftwareVersion> version, List<RegionId> allowedRegions) {
        CoordinatorCalls calls = mCoordination.calls();
        PeerMessage.AcquireEngines message =
                new PeerMessage.AcquireEngines(
                        mView.self().id(),
                        mView.self().failureDomain(),
                        request,
                        FakeGatewayFleet.SERVICE,
                        TOKENS,
                        List.of(),
                        1,
                        List.of(),
                        version.orElse(null),
                        900,
                        0,
                        3_600,
                        14_000,
                        false,
                        new RequestAttributes(null, null, 0, allowedRegions));
        EngineEvent completed = EngineEvent.of(EngineEvent.Kind.COMPLETED, request, 0);
        Mono<PeerMessage> response =
                calls.remoteCoordinator()
                        .map(
                                coordinator ->
                                        calls.call(
                                                        coordinator,
                                                        message,
                                                        EnginesResponse.class,
                                                        CALL_TIMEOUT)
                                                .doOnNext(r -> calls.report(coordinator, completed))
                                                .cast(PeerMessage.class))
                        .orElseGet(() -> handle(message).doOnNext(r -> apply(completed)));
        return response.flatMap(r -> Mono.justOrEmpty(engine((EnginesResponse) r)))
                .filter(engine -> version.isEmpty() || engine.version().equals(version.get()));
    }

    private void apply(EngineEvent event) {
        mCoordination.dispatcher().apply(List.of(event));
    }

    private Optional<LiveServer> engine(EnginesResponse response) {
        BackendServerId decode = response.decode();
        return mState.usable(FakeGatewayFleet.SERVICE, mFleet.time().nowNanos()).stream()
                .filter(server -> server.id().equals(decode))
                .findAny();
    }
}
