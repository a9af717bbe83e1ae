package org.fuchsiaford.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Collectors;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServerAvailability;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.entry.backend.CompletionsEngineClient;
import org.fuchsiaford.entry.backend.EngineClient;
import org.fuchsiaford.entry.http.AdminServer;
import org.fuchsiaford.entry.http.CallerServer;
import org.fuchsiaford.entry.http.CompletionsHandler;
import org.fuchsiaford.entry.http.EntryHostsHandler;
import org.fuchsiaford.entry.http.InFlightRequests;
import org.fuchsiaford.entry.http.RouteHandler;
import org.fuchsiaford.entry.keeper.PlacementClient;
import org.fuchsiaford.entry.keeper.PoolSchedulerRegistry;
import org.fuchsiaford.entry.limit.Admission;
import org.fuchsiaford.entry.limit.LimitHandler;
import org.fuchsiaford.entry.member.Authenticator;
import org.fuchsiaford.entry.member.HeldSlot;
import org.fuchsiaford.entry.member.HostAddresses;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.entry.member.MembershipHandler;
import org.fuchsiaford.entry.member.MembershipModule;
import org.fuchsiaford.entry.member.MembershipTasks;
import org.fuchsiaford.entry.member.SlotClaimer;
import org.fuchsiaford.entry.member.SlotDirectory;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.model.ModelRouter;
import org.fuchsiaford.entry.service.IdempotencyGuard;
import org.fuchsiaford.entry.service.ServiceClient;
import org.fuchsiaford.entry.service.ServiceRouter;
import org.fuchsiaford.entry.settings.EntrySettings;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.PeerServer;
import org.fuchsiaford.peer.TcpPeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.etcd.EtcdStore;
import org.fuchsiaford.store.hostlist.HostList;
import org.fuchsiaford.store.hostlist.HttpHostList;
import org.fuchsiaford.store.hostlist.ListedHost;
import org.fuchsiaford.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * An entry host: creates its components and controls their lifecycle.
 *
 * <p>Invariant: a graceful stop first refuses new requests, then waits for the requests in flight,
 * and only then releases the slot. Thread-safe.
 */
public final class EntryHost {
    private static final Logger LOG = Logger.getLogger(EntryHost.class);
    private static final Duration HOST_LIST_POLL_INTERVAL = Duration.ofMillis(1_000);
    private static final Duration SLOT_UPDATE_TIMEOUT = Duration.ofSeconds(5);

    private final EntrySettings mSettings;
    private final Ticker mTicker = Ticker.SYSTEM;
    private final ServerAvailability mAvailability = new ServerAvailability();
    private final InFlightRequests mInFlight = new InFlightRequests();
    private final Membership mMembership;
    private final SlotClaimer mClaimer;
    private final MembershipTasks mMembershipTasks;
    private final PoolSchedulerRegistry mPoolSchedulers;
    private final PeerServer mPeerServer;
    private final CallerServer mCallerServer;
    private final AdminServer mAdminServer;
    private final List<DisposableServer> mServers = new ArrayList<>();
    private Disposable mHostListPolling;

    /** Creates the components of a host; call {@link #start} to run it. */
    public EntryHost(EntrySettings settings) {
        mSettings = settings;
        HostId host = new HostId(UUID.randomUUID().toString());
        Store store = new EtcdStore(settings.storeUrls());
        TcpPeerClient peers = new TcpPeerClient();
        MembershipModule members =
                MembershipModule.create(
                        addresses(host),
                        settings.seedPeers(),
                        settings.signingKeys(),
                        peers,
                        store,
                        mTicker);
        mMembership = members.membership();
        mClaimer = members.claimer();
        mMembershipTasks = members.tasks();
        EngineClient engines = new CompletionsEngineClient();
        mPoolSchedulers = new PoolSchedulerRegistry(mMembership, engines, mAvailability, mTicker);
        LimitHandler limitHandler = new LimitHandler(mMembership, mTicker);
        mPeerServer =
                new PeerServer(
                        settings.peerAddress(),
                        message -> handle(message, members.handler(), limitHandler));
        EntryMetrics metrics = new EntryMetrics();
        mCallerServer = callerServer(members.directory(), peers, store, engines, metrics);
        mAdminServer =
                new AdminServer(settings.adminAddress(), mMembership, mInFlight, metrics, mTicker);
    }

    private HostAddresses addresses(HostId host) {
        return new HostAddresses(
                host,
                mSettings.failureDomain(),
                mSettings.peerAddress().toString(),
                mSettings.callerAddress().toString(),
                mSettings.adminAddress().toString());
    }

    private CallerServer callerServer(
            SlotDirectory directory,
            TcpPeerClient peers,
            Store store,
            EngineClient engines,
            EntryMetrics metrics) {
        Authenticator authenticator = new Authenticator(mMembership);
        Admission admission = new Admission(mMembership, directory, peers, mTicker);
        PlacementClient placement =
                new PlacementClient(mMembership, directory, mPoolSchedulers, peers);
        ModelRouter models = new ModelRouter(authenticator, placement, engines, metrics, mTicker);
        ServiceRouter services = new ServiceRouter(new ServiceClient(), mAvailability, mTicker);
        return new CallerServer(
                mSettings.callerAddress(),
                mInFlight,
                new CompletionsHandler(authenticator, admission, models, metrics, mTicker),
                new EntryHostsHandler(authenticator, directory),
                new RouteHandler(
                        mMembership,
                        authenticator,
                        admission,
                        services,
                        new IdempotencyGuard(store, mTicker),
                        metrics,
                        mTicker));
    }

    private Mono<PeerMessage> handle(
            PeerMessage message, MembershipHandler members, LimitHandler limits) {
        return members.handle(message)
                .or(() -> limits.handle(message))
                .map(Mono::just)
                .or(() -> mPoolSchedulers.handle(message))
                .orElseGet(() -> Mono.just(new PeerMessage.Failure("message is not a request")));
    }

    /** Opens all ports, then starts the background tasks; completes when the ports are open. */
    public Mono<Void> start() {
        return mPeerServer
                .start()
                .doOnNext(mServers::add)
                .then(Mono.defer(mAdminServer::start))
                .doOnNext(mServers::add)
                .then(Mono.defer(mCallerServer::start))
                .doOnNext(mServers::add)
                .doOnNext(server -> startTasks())
                .then();
    }

    private void startTasks() {
        mMembershipTasks.start();
        if (!mSettings.hostListUrl().isEmpty()) {
            mHostListPolling = pollHostList(new HttpHostList(mSettings.hostListUrl()));
        }
        LOG.infof("listening for callers on %s", mSettings.callerAddress());
    }

    private Disposable pollHostList(HostList list) {
        return Mono.defer(list::read)
                .doOnNext(this::updateLeavingServers)
                .onErrorResume(e -> Mono.empty())
                .then(Mono.delay(HOST_LIST_POLL_INTERVAL))
                .repeat()
                .subscribe();
    }

    private void updateLeavingServers(List<ListedHost> hosts) {
        Set<String> leavingUrls =
                hosts.stream()
                        .filter(host -> host.state() == ListedHost.State.LEAVING)
                        .map(host -> "http://" + host.address())
                        .collect(Collectors.toSet());
        Set<BackendServerId> leaving =
                mMembership.newestView().stream()
                        .flatMap(view -> view.index().bundle().backendServers().stream())
                        .filter(server -> leavingUrls.contains(server.url()))
                        .map(BackendServer::id)
                        .collect(Collectors.toSet());
        mAvailability.replaceLeaving(leaving);
    }

    /**
     * Stops gracefully: refuses new requests, waits for those in flight, then releases the slot and
     * closes the host.
     */
    public Mono<Void> stop() {
        Optional<HeldSlot> held = mMembership.heldSlot();
        LOG.infof("shutting down with %d requests in flight", mInFlight.count());
        mMembershipTasks.stopClaiming();
        return Mono.justOrEmpty(held)
                .flatMap(slot -> setSlotState(slot, SlotRecord.State.LEAVING))
                .then(Mono.defer(mInFlight::drain))
                .then(Mono.fromRunnable(mMembership::dropSlot))
                .then(Mono.justOrEmpty(held))
                .flatMap(slot -> setSlotState(slot, SlotRecord.State.VACANT))
                .then(Mono.defer(this::close));
    }

    private Mono<Void> setSlotState(HeldSlot held, SlotRecord.State state) {
        return mClaimer.changeState(held, state)
                .timeout(SLOT_UPDATE_TIMEOUT)
                .onErrorResume(e -> Mono.empty());
    }

    /** Closes the host without draining requests; completes when all ports are closed. */
    public Mono<Void> close() {
        mMembershipTasks.stop();
        mPoolSchedulers.stop();
        if (mHostListPolling != null) {
            mHostListPolling.dispose();
        }
        return Flux.fromIterable(mServers)
                .doOnNext(DisposableServer::dispose)
                .flatMap(DisposableServer::onDispose)
                .then()
                .doOnTerminate(() -> LOG.info("stopped"));
    }
}
