package org.fuchsiaford.entry.gateway.fleet;

import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostHeartbeat;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.quota.FleetQuota;
import org.fuchsiaford.selection.EngineQueues;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Exchanges heartbeats with all other entry hosts several times a second.
 *
 * <p>Of two hosts the one with the lower id calls; the other calls only while it receives no
 * heartbeats from the first. Invariant: the share of the rate limits is updated within one round
 * after the set of reachable or present hosts has changed. Thread-safe.
 */
public final class HeartbeatExchange {
    /**
     * Interval of heartbeats, and so the maximum age of what a host knows of the admissions of
     * reachable hosts, and of their loads while these are too low for an immediate load update.
     */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /** Delay that combines several changes into one load update. */
    private static final Duration UPDATE_DELAY = Duration.ofMillis(10);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);
    private static final Duration COPY_TIMEOUT = Duration.ofMillis(1_000);

    /**
     * Time for which another host must have a later store revision before its entries are copied; a
     * working watch of the store catches up within milliseconds.
     */
    private static final long MAX_BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final FleetView mFleet;
    private final FleetQuota mQuota;
    private final LoadTracker mLoads;
    private final EngineQueues mQueues;
    private final GatewayState mState;
    private final PeerClient mPeerClient;
    private final List<PeerAddress> mSeeds;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final BooleanSupplier mIsAccepting;
    private final AtomicBoolean mCopyInProgress = new AtomicBoolean();
    private final AtomicBoolean mUpdateScheduled = new AtomicBoolean();
    private final Disposable.Swap mRounds = Disposables.swap();
    private long mBehindSinceNanos;
    private boolean mIsBehind;
    private double mLastShare;

    /** Creates an exchange; it is inactive until {@link #start} is called. */
    public HeartbeatExchange(
            FleetView fleet,
            FleetQuota quota,
            LoadTracker loads,
            EngineQueues queues,
            GatewayState state,
            PeerClient peerClient,
            List<PeerAddress> seeds,
            DecisionLog log,
            Ticker ticker,
            BooleanSupplier isAccepting) {
        mFleet = fleet;
        mQuota = quota;
        mLoads = loads;
        mQueues = queues;
        mState = state;
        mPeerClient = peerClient;
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

    /** Sends a heartbeat to all hosts at once, for a change that cannot wait for the next round. */
    public Mono<Void> sendToAll() {
        return Flux.fromIterable(mFleet.others()).flatMap(this::exchange).then();
    }

    /**
     * Schedules a report of loads and admissions to all reachable hosts, so that they neither
     * choose the same engine nor admit requests against the same tokens.
     */
    public void scheduleLoadUpdate() {
        if (mUpdateScheduled.compareAndSet(false, true)) {
            Mono.delay(UPDATE_DELAY).subscribe(tick -> sendLoadUpdate());
        }
    }

    private void sendLoadUpdate() {
        mUpdateScheduled.set(false);
        long nowNanos = mTicker.nowNanos();
        PeerMessage.LoadUpdate update =
                new PeerMessage.LoadUpdate(
                        mFleet.self().id(),
                        mLoads.localLoads(),
                        mQueues.onTimeWork(nowNanos),
                        mQuota.totals());
        mFleet.others().stream()
                .filter(peer -> mFleet.isReachable(peer.id(), nowNanos))
                .map(peer -> PeerAddress.parse(peer.peerAddress()))
                .forEach(peer -> sendUpdate(peer, update));
    }

    private void sendUpdate(PeerAddress peer, PeerMessage.LoadUpdate update) {
        // The next heartbeat repeats the contents of a lost update.
        mPeerClient
                .call(peer, update, PeerMessage.Success.class, CALL_TIMEOUT)
                .onErrorComplete()
                .subscribe();
    }

    /** Processes the load update of another host. */
    public PeerMessage.Success handle(PeerMessage.LoadUpdate update) {
        long nowNanos = mTicker.nowNanos();
        mFleet.updateLoads(update.host(), update.loads(), update.waiting(), nowNanos);
        mQuota.mergeReport(update.host(), update.admitted(), nowNanos);
        refreshRemoteLoads(nowNanos);
        return new PeerMessage.Success();
    }

    private void refreshRemoteLoads(long nowNanos) {
        mLoads.replaceRemoteLoads(
                mFleet.freshHeartbeats(nowNanos).stream()
                        .flatMap(heartbeat -> heartbeat.loads().stream())
                        .toList());
    }

    private void runRound() {
        long nowNanos = mTicker.nowNanos();
        mFleet.removeExpired(nowNanos).forEach(mQuota::removeHost);
        updateShare(nowNanos);
        refreshRemoteLoads(nowNanos);
        List<HostRecord> others = mFleet.others();
        others.stream()
                .filter(this::isCalledByThisHost)
                .forEach(peer -> exchange(peer).subscribe());
        if (mFleet.reachableCount(nowNanos) == 1) {
            mSeeds.stream()
                    .filter(seed -> !seed.toString().equals(mFleet.self().peerAddress()))
                    .forEach(seed -> exchange(seed).subscribe());
        }
    }

    private boolean isCalledByThisHost(HostRecord peer) {
        boolean lower = mFleet.self().id().compareTo(peer.id()) < 0;
        return lower || !mFleet.isReachable(peer.id(), mTicker.nowNanos());
    }

    private void updateShare(long nowNanos) {
        int reachable = mFleet.reachableCount(nowNanos);
        int present = mFleet.presentCount(nowNanos);
        double share = (double) reachable / Math.max(reachable, present);
        mQuota.setShare(share);
        if (share != mLastShare) {
            mLastShare = share;
            mLog.write(new Decision.LimitShare(share, reachable, present));
        }
    }

    private Mono<Void> exchange(HostRecord peer) {
        PeerAddress address = PeerAddress.parse(peer.peerAddress());
        return exchange(address)
                .onErrorResume(
                        ConnectException.class, e -> Mono.fromRunnable(() -> markStopped(peer, e)));
    }

    private void markStopped(HostRecord peer, ConnectException cause) {
        if (mFleet.markStopped(peer.id())) {
            mLog.write(
                    new Decision.PeerSeen(
                            peer.id().value(), peer.peerAddress(), "ended: " + cause.getMessage()));
        }
    }

    private Mono<Void> exchange(PeerAddress address) {
        return mPeerClient
                .call(
                        address,
                        new PeerMessage.Heartbeat(localHeartbeat()),
                        PeerMessage.Heartbeat.class,
                        CALL_TIMEOUT)
                .doOnNext(response -> receive(response.pulse()))
                .then()
                .onErrorResume(
                        e ->
                                e.getCause() instanceof ConnectException refused
                                        ? Mono.error(refused)
                                        : Mono.empty());
    }

    private HostHeartbeat localHeartbeat() {
        return new HostHeartbeat(
                mFleet.self(),
                mIsAccepting.getAsBoolean(),
                mState.revision(),
                mQuota.totals(),
                mLoads.localLoads(),
                mQueues.onTimeWork(mTicker.nowNanos()));
    }

    /** Processes the heartbeat of another host and responds with that of this host. */
    public PeerMessage.Heartbeat handle(PeerMessage.Heartbeat request) {
        receive(request.pulse());
        return new PeerMessage.Heartbeat(localHeartbeat());
    }

    private void receive(HostHeartbeat heartbeat) {
        if (heartbeat.host().id().equals(mFleet.self().id())) {
            return;
        }
        long nowNanos = mTicker.nowNanos();
        if (mFleet.recordHeartbeat(heartbeat, nowNanos)) {
            mLog.write(
                    new Decision.PeerSeen(
                            heartbeat.host().id().value(),
                            heartbeat.host().peerAddress(),
                            "in-touch"));
        }
        mQuota.mergeReport(heartbeat.host().id(), heartbeat.admitted(), nowNanos);
        if (isBehind(heartbeat, nowNanos) && mCopyInProgress.compareAndSet(false, true)) {
            copyFrom(heartbeat.host());
        }
    }

    private synchronized boolean isBehind(HostHeartbeat heartbeat, long nowNanos) {
        if (heartbeat.stateRevision() <= mState.revision()) {
            mIsBehind = false;
            return false;
        }
        if (!mIsBehind) {
            mIsBehind = true;
            mBehindSinceNanos = nowNanos;
        }
        return mState.table().isEmpty() || nowNanos - mBehindSinceNanos >= MAX_BEHIND_NANOS;
    }

    private void copyFrom(HostRecord peer) {
        long fromRevision = mState.revision();
        mPeerClient
                .call(
                        PeerAddress.parse(peer.peerAddress()),
                        new PeerMessage.FetchStoreEntries(),
                        PeerMessage.StoreEntriesResponse.class,
                        COPY_TIMEOUT)
                .doOnNext(copy -> mState.applySnapshot(copy.revision(), toStoreEntries(copy)))
                .doOnNext(copy -> logCopy(peer, fromRevision, copy.revision()))
                .doFinally(signal -> mCopyInProgress.set(false))
                .subscribe(copy -> {}, e -> logCopyFailure(peer, e));
    }

    private void logCopy(HostRecord peer, long fromRevision, long toRevision) {
        mLog.write(new Decision.StateCopied(peer.id().value(), fromRevision, toRevision));
    }

    private void logCopyFailure(HostRecord peer, Throwable cause) {
        mLog.write(
                new Decision.PeerSeen(
                        peer.id().value(),
                        peer.peerAddress(),
                        "copy failed: " + cause.getMessage()));
    }

    private static List<StoreEntry> toStoreEntries(PeerMessage.StoreEntriesResponse copy) {
        return copy.entries().stream()
                .map(e -> new StoreEntry(new StoreKey(e.key()), e.value(), e.revision()))
                .toList();
    }

    /** Returns the store entries known to this host, for a host with an earlier revision. */
    public PeerMessage.StoreEntriesResponse storeEntries() {
        long revision = mState.revision();
        return new PeerMessage.StoreEntriesResponse(
                revision,
                mState.entries().stream()
                        .map(
                                e ->
                                        new PeerMessage.StoreEntryCopy(
                                                e.key().value(), e.value(), e.revision()))
                        .toList());
    }
}
