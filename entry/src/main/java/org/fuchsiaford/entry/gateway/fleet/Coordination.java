package org.fuchsiaford.entry.gateway.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.gateway.state.StateFollower;
import org.fuchsiaford.fleet.CoordinatorTracker;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.quota.FleetQuota;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.EnginePlanner;
import org.fuchsiaford.selection.EngineQueues;
import org.fuchsiaford.selection.EngineScheduler;
import org.fuchsiaford.selection.HeldEngines;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.OutcomeTally;
import org.fuchsiaford.selection.SeatBook;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.selection.TimedEnginePool;
import org.fuchsiaford.serverlimit.ColdServers;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.serverlimit.UnseenServers;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * The part of a host that acts together with the other hosts: as one that asks coordinators, and as
 * one that may be a coordinator. Creates the components and connects them. Thread-safe.
 */
public final class Coordination {
    /** With this, the watches of a fleet make at most 200 calls a second together. */
    private static final long WATCH_INTERVAL_NANOS_PER_HOST = TimeUnit.MILLISECONDS.toNanos(5);

    /** A small part of the time in which a change must be in force. */
    private static final long MAX_WATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The first coordinator chooses engines for all hosts, so it learns of changes soon. */
    private static final long COORDINATOR_WATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /**
     * Wait of a watch at a host that learns from no other that its own watch is silent; short
     * enough for changes to be in force in time after a connection has fallen silent.
     */
    private static final long WATCH_WAIT_MILLIS = 1_500;

    /**
     * Wait of a watch at a host that compares its state with that of a coordinator twice a second
     * and calls the store for its registration every second. Each of both finds a silent watch
     * sooner than the watch does, which then only costs calls.
     */
    private static final long COMPARED_WATCH_WAIT_MILLIS = 6_000;

    private final FleetView mFleet;
    private final int mMinTimedEngines;
    private final GatewayState mState;
    private final Ticker mTicker;
    private final HeldEngines mHeld = new HeldEngines();
    private final OutcomeTally mTally = new OutcomeTally();
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final ServerLimits mLimits = new ServerLimits();
    private final CoordinatorCalls mCalls;
    private final EngineScheduler mScheduler;
    private final EngineDispatcher mDispatcher;
    private final SeatDispatcher mSeats;
    private final CoordinatorHandler mHandler;
    private final LimitCharging mCharging;
    private final ServerPermits mPermits;
    private final RequestQuarantine mRequestQuarantine;
    private final OriginTracker mOrigins;
    private final HeartbeatExchange mHeartbeats;

    /**
     * Creates the components; they are inactive until {@link HeartbeatExchange#start}.
     *
     * @param limitWindowNanos the length of the window in which rate limits are counted
     * @param random a source of uniformly distributed random numbers from 0 to 1
     * @param follower what reads the registry
     * @param isAccepting whether this host accepts new callers
     * @param placement what the settings ask of placement
     */
    public Coordination(
            FleetView fleet,
            GatewayState state,
            Store store,
            ServerHealth health,
            LoadTracker loads,
            PeerClient peerClient,
            long limitWindowNanos,
            List<PeerAddress> seeds,
            DoubleSupplier random,
            DecisionLog log,
            Ticker ticker,
            StateFollower follower,
            BooleanSupplier isAccepting,
            PlacementSettings placement) {
        mFleet = fleet;
        mMinTimedEngines = placement.minTimedEngines();
        mState = state;
        mTicker = ticker;
        long startNanos = ticker.nowNanos();
        EngineQueues queues = new EngineQueues(placement.fairQueue());
        FleetQuota quota = new FleetQuota(limitWindowNanos, startNanos);
        CoordinatorTracker tracker = new CoordinatorTracker(fleet, startNanos);
        mCalls = new CoordinatorCalls(fleet.self(), tracker, peerClient, log, ticker);
        ServerRateLimiter limiter = createLimiter(state, follower, random);
        mScheduler = createScheduler(state, health, loads, queues, limiter, random);
        mDispatcher = new EngineDispatcher(mScheduler, mQuarantine, health, log, ticker);
        SeatBook seatBook = new SeatBook(fleet.self().id(), state, loads, health, random);
        mSeats = new SeatDispatcher(seatBook, log, ticker);
        mOrigins = createOrigins(state, store, follower, random, log);
        mHeartbeats =
                new HeartbeatExchange(
                        fleet,
                        tracker,
                        mCalls,
                        mDispatcher,
                        mSeats,
                        quota,
                        loads,
                        mHeld,
                        health,
                        mTally,
                        mQuarantine,
                        mLimits,
                        limiter,
                        queues,
                        mOrigins,
                        state,
                        peerClient,
                        seeds,
                        log,
                        ticker,
                        isAccepting);
        mHandler = createHandler(quota, limiter);
        mRequestQuarantine = new RequestQuarantine(mCalls, mQuarantine, mHandler, ticker);
        mPermits = new ServerPermits(mCalls, mLimits, state, limiter, ticker);
        mCharging = new LimitCharging(mCalls, quota, mHeartbeats::updateMissingShare, ticker);
    }

    private CoordinatorHandler createHandler(FleetQuota quota, ServerRateLimiter limiter) {
        return new CoordinatorHandler(
                mDispatcher,
                mSeats,
                mQuarantine,
                quota,
                mLimits,
                mState.cold(),
                limiter,
                mHeartbeats::updateMissingShare,
                mTicker);
    }

    private ServerRateLimiter createLimiter(
            GatewayState state, StateFollower follower, DoubleSupplier random) {
        ColdServers cold = state.cold().servers();
        return new ServerRateLimiter(
                mLimits,
                List.of(
                        cold,
                        new UnseenServers(cold, () -> isCutOff(follower.isRegistryCurrent())),
                        state.pace().pace()),
                () ->
                        mFleet.decidingShare(
                                mCalls.remoteCoordinator().isEmpty(), mTicker.nowNanos()),
                random);
    }

    private OriginTracker createOrigins(
            GatewayState state,
            Store store,
            StateFollower follower,
            DoubleSupplier random,
            DecisionLog log) {
        return new OriginTracker(
                mFleet,
                state,
                store,
                mCalls,
                () -> isStateCurrent(follower.isRegistryCurrent()),
                follower::registryCurrentNanos,
                this::sendHeartbeatsNow,
                random,
                log,
                mTicker);
    }

    private static int engineCount(GatewayState state, ServiceId service) {
        return (int)
                state.servers().registered().stream()
                        .filter(server -> server.service().equals(service))
                        .count();
    }

    private EngineScheduler createScheduler(
            GatewayState state,
            ServerHealth health,
            LoadTracker loads,
            EngineQueues queues,
            ServerRateLimiter limiter,
            DoubleSupplier random) {
        return new EngineScheduler(
                mFleet.self().id(),
                new TimedEnginePool(
                        state, service -> engineCount(state, service), mMinTimedEngines),
                loads,
                new EnginePlanner(loads, health, random),
                queues,
                this::othersOnTimeTokens,
                mQuarantine,
                state.versions(),
                limiter,
                random);
    }

    private void sendHeartbeatsNow() {
        mHeartbeats.sendNow().subscribe();
    }

    /** The calls of all hosts to the store add up, so each makes fewer in a larger fleet. */
    public long watchIntervalNanos() {
        long maxNanos =
                mCalls.isCoordinator()
                        ? COORDINATOR_WATCH_INTERVAL_NANOS
                        : MAX_WATCH_INTERVAL_NANOS;
        return Math.min(
                maxNanos, mFleet.presentCount(mTicker.nowNanos()) * WATCH_INTERVAL_NANOS_PER_HOST);
    }

    /**
     * Returns how long the store may hold a watch open. While streams are recorded, what this host
     * knows of engines has to be proven by recent responses.
     */
    public long watchWaitMillis() {
        boolean compares = mCalls.remoteCoordinator().isPresent() && !mCalls.isAmongCoordinators();
        return compares && !mState.versions().isAnyMixed()
                ? COMPARED_WATCH_WAIT_MILLIS
                : WATCH_WAIT_MILLIS;
    }

    /** What other hosts read of the store reaches this host within a heartbeat. */
    private boolean isStateCurrent(boolean isRegistryCurrent) {
        return isRegistryCurrent && !mHeartbeats.isBehind();
    }

    /** Nothing that other hosts or the store know of servers reaches this host. */
    private boolean isCutOff(boolean isRegistryCurrent) {
        long nowNanos = mTicker.nowNanos();
        return !isRegistryCurrent
                && mCalls.remoteCoordinator().isEmpty()
                && mFleet.reachableCount(nowNanos) == 1
                && mFleet.presentCount(nowNanos) > 1;
    }

    /** Returns the tokens queued at other hosts that can still meet their target. */
    private long othersOnTimeTokens(ServiceId service) {
        return mFleet.latestHeartbeats(mTicker.nowNanos()).stream()
                .mapToLong(heartbeat -> heartbeat.waitingTokens(service))
                .sum();
    }

    /** Returns the calls to the coordinators. */
    public CoordinatorCalls calls() {
        return mCalls;
    }

    /** Returns what runs the scheduler of this host. */
    public EngineDispatcher dispatcher() {
        return mDispatcher;
    }

    /** Returns the book of seats of this host. */
    public SeatDispatcher seats() {
        return mSeats;
    }

    /** Returns the scheduler of this host, to read what it has measured. */
    public EngineScheduler scheduler() {
        return mScheduler;
    }

    /** Returns the requests of this host that hold engines granted by coordinators. */
    public HeldEngines held() {
        return mHeld;
    }

    /** Returns where to count the outcomes of calls. */
    public OutcomeTally tally() {
        return mTally;
    }

    /** Returns what servers say about the requests that they take. */
    public ServerLimits serverLimits() {
        return mLimits;
    }

    /** Returns the permits for requests to plain servers. */
    public ServerPermits permits() {
        return mPermits;
    }

    /** Returns the quarantine of plain requests. */
    public RequestQuarantine requestQuarantine() {
        return mRequestQuarantine;
    }

    /** Returns the charging of rate limits. */
    public LimitCharging charging() {
        return mCharging;
    }

    /** Returns what tells at which software version a stream began. */
    public OriginTracker origins() {
        return mOrigins;
    }

    /** Returns the exchange of heartbeats. */
    public HeartbeatExchange heartbeats() {
        return mHeartbeats;
    }

    private void recordFailure(EngineEvent event) {
        if (event.outcome() == AttemptOutcome.NOT_SENT) {
            mState.cold().markUnreachable(event.server());
        }
        if (event.kind() == EngineEvent.Kind.CALLED) {
            mState.pace().recordFailure(event.server(), event.outcome());
        }
    }

    /** Answers a message of another host; empty if it is of another kind. */
    public Optional<Mono<PeerMessage>> handle(PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            return Optional.of(Mono.just(mHeartbeats.handle(heartbeat)));
        }
        if (message instanceof PeerMessage.FetchStoreEntries) {
            return Optional.of(Mono.just(mHeartbeats.storeEntries()));
        }
        if (message instanceof PeerMessage.AcquireEngines acquire) {
            return Optional.of(mHandler.handle(acquire));
        }
        if (message instanceof PeerMessage.AcquireSeat acquire) {
            return Optional.of(mHandler.handle(acquire));
        }
        if (message instanceof PeerMessage.ReportEngineEvents events) {
            events.events().forEach(this::recordFailure);
            return Optional.of(Mono.just(mHandler.handle(events)));
        }
        if (message instanceof PeerMessage.ChargeLimit charge) {
            return Optional.of(Mono.just(mHandler.handle(charge)));
        }
        if (message instanceof PeerMessage.AdmitPrompt admit) {
            return Optional.of(Mono.just(mHandler.handle(admit)));
        }
        if (message instanceof PeerMessage.ReportCrash crash) {
            return Optional.of(Mono.just(mHandler.handle(crash)));
        }
        if (message instanceof PeerMessage.ReportSurvival survival) {
            return Optional.of(Mono.just(mHandler.handle(survival)));
        }
        if (message instanceof PeerMessage.FindOrigin find) {
            return Optional.of(mOrigins.handle(find));
        }
        if (message instanceof PeerMessage.AcquirePermit acquire) {
            return Optional.of(Mono.just(mHandler.handle(acquire)));
        }
        return message instanceof PeerMessage.RefundLimit refund
                ? Optional.of(Mono.just(mHandler.handle(refund)))
                : Optional.empty();
    }
}
