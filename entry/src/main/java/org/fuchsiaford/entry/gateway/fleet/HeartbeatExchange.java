package org.fuchsiaford.entry.gateway.fleet;

import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.fleet.CoordinatorTracker;
import org.fuchsiaford.fleet.FleetSummary;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostHeartbeat;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.fleet.ServerOutcomes;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.prompt.QuarantinedPrompt;
import org.fuchsiaford.quota.FleetQuota;
import org.fuchsiaford.selection.EngineQueues;
import org.fuchsiaford.selection.FleetHealth;
import org.fuchsiaford.selection.HeldEngines;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.OutcomeTally;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.serverlimit.NamedLimit;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.store.StoreRevision;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends heartbeats to the coordinators several times a second, and answers those of other hosts
 * with a summary of the fleet if this host is a coordinator.
 *
 * <p>Invariant: the number of messages of a host that is no coordinator does not depend on the
 * number of hosts. The share of the rate limits is updated within one round after the set of
 * reachable or present hosts has changed. Thread-safe.
 */
public final class HeartbeatExchange {
    /**
     * Interval of heartbeats, and so the maximum age of what a coordinator knows of hosts that were
     * granted something elsewhere.
     */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

    /**
     * Age up to which a host reports what it knows of the limits of servers; several heartbeats,
     * since one may be lost.
     */
    private static final long RECENT_LIMIT_NANOS = 3 * HEARTBEAT_INTERVAL.toNanos();

    private final FleetView mFleet;
    private final CoordinatorTracker mTracker;
    private final CoordinatorCalls mCalls;
    private final EngineDispatcher mDispatcher;
    private final SeatDispatcher mSeats;
    private final Set<HostId> mSeatGrantors = ConcurrentHashMap.newKeySet();
    private final FleetQuota mQuota;
    private final LoadTracker mLoads;
    private final HeldEngines mHeld;
    private final ServerHealth mHealth;
    private final OutcomeTally mTally;
    private final FleetHealth mFleetHealth = new FleetHealth();
    private final PromptQuarantine mQuarantine;
    private final ServerLimits mLimits;
    private final ServerRateLimiter mLimiter;
    private final EngineQueues mQueues;
    private final OriginTracker mOrigins;
    private final GatewayState mState;
    private final PeerClient mPeerClient;
    private final StateCatchUp mCatchUp;
    private final List<PeerAddress> mSeeds;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final BooleanSupplier mIsAccepting;
    private final Disposable.Swap mRounds = Disposables.swap();
    private Optional<HostId> mLastPrimary = Optional.empty();
    private double mLastShare;

    /** Creates an exchange; it is inactive until {@link #start} is called. */
    public HeartbeatExchange(
            FleetView fleet,
            CoordinatorTracker tracker,
            CoordinatorCalls calls,
            EngineDispatcher dispatcher,
            SeatDispatcher seats,
            FleetQuota quota,
            LoadTracker loads,
            HeldEngines held,
            ServerHealth health,
            OutcomeTally tally,
            PromptQuarantine quarantine,
            ServerLimits limits,
            ServerRateLimiter limiter,
            EngineQueues queues,
            OriginTracker origins,
            GatewayState state,
            PeerClient peerClient,
            List<PeerAddress> seeds,
            DecisionLog log,
            Ticker ticker,
            BooleanSupplier isAccepting) {
        mFleet = fleet;
        mTracker = tracker;
        mCalls = calls;
        mDispatcher = dispatcher;
        mSeats = seats;
        mQuota = quota;
        mLoads = loads;
        mHeld = held;
        mHealth = health;
        mTally = tally;
        mQuarantine = quarantine;
        mLimits = limits;
        mLimiter = limiter;
        mQueues = queues;
        mOrigins = origins;
        mState = state;
        mPeerClient = peerClient;
        mCatchUp = new StateCatchUp(state, peerClient, log);
        mSeeds = List.copyOf(seeds);
        mLog = log;
        mTicker = ticker;
        mIsAccepting = isAccepting;
    }

    /** Starts the periodic exchange. */
    public void start() {
        mRounds.update(
                Flux.interval(Duration.ZERO, HEARTBEAT_INTERVAL).subscribe(tick -> runRound()));
    }

    /** Stops the periodic exchange. */
    public void stop() {
        mRounds.dispose();
    }

    /**
     * Sends a heartbeat to the coordinators at once, for a change that cannot wait for the next
     * round.
     */
    public Mono<Void> sendNow() {
        return Flux.fromStream(remoteCoordinators()).flatMap(this::exchange).then();
    }

    private Stream<HostRecord> remoteCoordinators() {
        return mTracker.coordinators().stream()
                .filter(host -> !host.id().equals(mFleet.self().id()));
    }

    private void runRound() {
        long nowNanos = mTicker.nowNanos();
        mFleet.removeExpired(nowNanos)
                .forEach(
                        host -> {
                            mQuota.removeHost(host);
                            mSeatGrantors.remove(host);
                        });
        mTracker.retainKnown();
        mState.endDueEvacuations();
        removeSilentReporters(nowNanos);
        mLimiter.removeOld(mState.servers()::isRegistered, nowNanos);
        mState.pace().removeOld(mState.servers()::isRegistered);
        mState.cold().servers().removeOld(mState.servers()::isRegistered, nowNanos);
        updateShare(nowNanos);
        logPrimary(nowNanos);
        if (mCalls.isCoordinator()) {
            List<ServerOutcomes> outcomes = mTally.drain();
            mState.cold().recordOutcomes(outcomes);
            mState.pace().recordOutcomes(outcomes);
            mFleetHealth.add(outcomes, nowNanos);
            mHealth.replaceFleetRates(mFleetHealth.failing(nowNanos), nowNanos);
        }
        remoteCoordinators().forEach(peer -> exchange(peer).subscribe());
        mTracker.dueForProbe(nowNanos).forEach(peer -> exchange(peer).subscribe());
        if (mFleet.others().isEmpty()) {
            mSeeds.stream()
                    .filter(seed -> !seed.toString().equals(mFleet.self().peerAddress()))
                    .forEach(seed -> exchangeWithSeed(seed).subscribe());
        }
    }

    /** Drops the reports and grants of hosts that have stopped to report to this coordinator. */
    private void removeSilentReporters(long nowNanos) {
        mLoads.reportingHosts().stream()
                .filter(host -> !mFleet.isReachable(host, nowNanos))
                .forEach(
                        host -> {
                            mLoads.removeReport(host);
                            mDispatcher.removeHost(host);
                            mSeats.removeHost(host);
                        });
    }

    /** Updates the share of the limits if this host has none, before it is asked for tokens. */
    void updateMissingShare() {
        if (!mQuota.hasShare()) {
            updateShare(mTicker.nowNanos());
        }
    }

    private synchronized void updateShare(long nowNanos) {
        int reachable = mFleet.reachableCount(nowNanos);
        int present = mFleet.presentCount(nowNanos);
        // The coordinators grant from the share of a host that asks them.
        boolean grants =
                mState.table().isPresent()
                        && (reachable > 1 || mCalls.remoteCoordinator().isEmpty());
        mQuota.setShare(grants ? reachable : 0, present, nowNanos);
        double share = grants ? (double) reachable / Math.max(reachable, present) : 0;
        if (share != mLastShare) {
            mLastShare = share;
            mLog.write(new Decision.LimitShare(share, reachable, present));
        }
    }

    private void logPrimary(long nowNanos) {
        Optional<HostId> primary = mTracker.primary(nowNanos).map(HostRecord::id);
        if (!primary.equals(mLastPrimary)) {
            mLastPrimary = primary;
            mLog.write(new Decision.Coordinator(primary.map(HostId::value).orElse(null)));
        }
    }

    private Mono<Void> exchange(HostRecord peer) {
        List<ServerLoad> ownLoads = mLoads.localLoads();
        long askedNanos = mTicker.nowNanos();
        boolean isPrimary = isPrimaryOrUnsettled(peer);
        return mPeerClient
                .call(
                        PeerAddress.parse(peer.peerAddress()),
                        new PeerMessage.Heartbeat(localHeartbeat(peer.id(), isPrimary), isPrimary),
                        PeerMessage.FleetResponse.class,
                        CALL_TIMEOUT)
                .doOnNext(response -> receive(response, ownLoads, askedNanos))
                .then()
                .onErrorResume(e -> Mono.fromRunnable(() -> recordFailure(peer, e)));
    }

    private Mono<Void> exchangeWithSeed(PeerAddress seed) {
        List<ServerLoad> ownLoads = mLoads.localLoads();
        long askedNanos = mTicker.nowNanos();
        // A seed may be out of date; only a response counts.
        return mPeerClient
                .call(
                        seed,
                        new PeerMessage.Heartbeat(localHeartbeat(null, false), true),
                        PeerMessage.FleetResponse.class,
                        CALL_TIMEOUT)
                .doOnNext(response -> receive(response, ownLoads, askedNanos))
                .then()
                .onErrorComplete();
    }

    private boolean isPrimaryOrUnsettled(HostRecord peer) {
        Optional<HostRecord> primary = mTracker.primary(mTicker.nowNanos());
        return primary.isEmpty() || primary.get().id().equals(peer.id());
    }

    private void recordFailure(HostRecord peer, Throwable cause) {
        mCalls.recordFailure(peer, cause);
        if (cause.getCause() instanceof ConnectException refused && mFleet.markStopped(peer.id())) {
            mLog.write(
                    new Decision.PeerSeen(
                            peer.id().value(),
                            peer.peerAddress(),
                            "ended: " + refused.getMessage()));
        }
    }

    private HostHeartbeat localHeartbeat(HostId receiver, boolean withOutcomes) {
        long nowNanos = mTicker.nowNanos();
        return new HostHeartbeat(
                mFleet.self(),
                TimeUnit.NANOSECONDS.toMillis(mQuota.ageNanos(nowNanos)),
                mIsAccepting.getAsBoolean(),
                lastChange().number(),
                mQuota.totalsExcept(receiver, nowNanos),
                mLoads.localLoadsExcept(receiver),
                mHeld.grantedBy(receiver),
                withOutcomes ? mTally.drain() : List.of(),
                mQueues.onTimeWork(nowNanos),
                mState.servers().leaving(),
                mQuarantine.list(nowNanos),
                mLimits.list(RECENT_LIMIT_NANOS, nowNanos),
                mOrigins.recent(),
                lastChange().era(),
                mState.cold().servers().listOwn(RECENT_LIMIT_NANOS, nowNanos));
    }

    private StoreRevision lastChange() {
        return StoreRevision.ofOrdered(mState.lastChangeRevision());
    }

    /** Returns whether a coordinator has said that it grants seats of plain servers. */
    public boolean grantsSeats(HostId coordinator) {
        return mSeatGrantors.contains(coordinator);
    }

    private void receive(
            PeerMessage.FleetResponse response, List<ServerLoad> ownLoads, long askedNanos) {
        FleetSummary summary = response.summary();
        HostRecord coordinator = summary.coordinator();
        if (response.grantsSeats()) {
            mSeatGrantors.add(coordinator.id());
        }
        if (coordinator.id().equals(mFleet.self().id())) {
            return;
        }
        long nowNanos = mTicker.nowNanos();
        mFleet.recordContact(coordinator, nowNanos);
        mTracker.recordSuccess(coordinator.id(), nowNanos);
        mergeQuarantine(summary.quarantined(), nowNanos);
        mState.markLeaving(summary.leaving(), coordinator.id().value());
        mergeLimits(summary.limits(), coordinator.id(), nowNanos);
        mState.cold().merge(summary.cold(), coordinator.id().value());
        if (isPrimaryOrUnsettled(coordinator)) {
            mFleet.recordSummary(summary, askedNanos);
            mLoads.replaceFleetLoads(summary.loads(), ownLoads);
            mHealth.replaceFleetRates(summary.failing(), nowNanos);
        }
        mCatchUp.catchUp(
                coordinator,
                new StoreRevision(summary.stateEra(), summary.stateRevision()),
                nowNanos);
    }

    /** Processes the heartbeat of another host and responds with a summary of the fleet. */
    public PeerMessage.FleetResponse handle(PeerMessage.Heartbeat request) {
        HostHeartbeat heartbeat = request.pulse();
        HostId sender = heartbeat.host().id();
        long nowNanos = mTicker.nowNanos();
        if (!sender.equals(mFleet.self().id())) {
            if (mFleet.recordHeartbeat(heartbeat, nowNanos)) {
                updateShare(nowNanos);
                mLog.write(
                        new Decision.PeerSeen(
                                sender.value(), heartbeat.host().peerAddress(), "in-touch"));
            }
            mFleet.recordAsking(sender, request.wantsLoads());
            mQuota.mergeReport(
                    sender,
                    heartbeat.admitted(),
                    TimeUnit.MILLISECONDS.toNanos(heartbeat.ageMillis()),
                    nowNanos);
            mLoads.replaceReport(sender, heartbeat.loads());
            mDispatcher.reconcile(sender, heartbeat.held());
            mSeats.reconcile(sender, heartbeat.held());
            mFleetHealth.add(heartbeat.outcomes(), nowNanos);
            mergeQuarantine(heartbeat.quarantined(), nowNanos);
            mState.markLeaving(heartbeat.leaving(), sender.value());
            mergeLimits(heartbeat.limits(), sender, nowNanos);
            mState.cold().merge(heartbeat.cold(), sender.value());
            mState.cold().recordOutcomes(heartbeat.outcomes());
            mState.pace().recordOutcomes(heartbeat.outcomes());
            mOrigins.merge(heartbeat.begun());
            mCatchUp.catchUp(
                    heartbeat.host(),
                    new StoreRevision(heartbeat.stateEra(), heartbeat.stateRevision()),
                    nowNanos);
        }
        return new PeerMessage.FleetResponse(
                new FleetSummary(
                        mFleet.self(),
                        lastChange().number(),
                        mFleet.availableHosts(mIsAccepting.getAsBoolean(), nowNanos),
                        request.wantsLoads() ? mLoads.totals() : List.of(),
                        mFleetHealth.failing(nowNanos),
                        mState.servers().leaving(),
                        mQuarantine.list(nowNanos),
                        mLimits.list(
                                request.wantsLoads() ? Long.MAX_VALUE : RECENT_LIMIT_NANOS,
                                nowNanos),
                        lastChange().era(),
                        mState.cold().servers().list(nowNanos)),
                true);
    }

    private void mergeLimits(List<NamedLimit> reported, HostId source, long nowNanos) {
        mLimits.merge(reported, nowNanos)
                .forEach(
                        limit ->
                                mLog.write(
                                        Decision.ServerNoticed.limit(
                                                limit.server().id().value(),
                                                source.value(),
                                                limit.requestsPerSecond())));
    }

    private void mergeQuarantine(List<QuarantinedPrompt> reported, long nowNanos) {
        if (!reported.isEmpty()) {
            mQuarantine.merge(reported, nowNanos);
            mDispatcher.logQuarantine();
        }
    }

    /** Returns whether a coordinator or reporting host is known to have a later state. */
    boolean isBehind() {
        return mCatchUp.isBehind();
    }

    /** Returns the store entries known to this host, for a host with an earlier revision. */
    public PeerMessage.StoreEntriesResponse storeEntries() {
        return mCatchUp.storeEntries();
    }
}
