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
 * Tells every other host how this one is and hears the same of it, several times a second.
 *
 * <p>Of two hosts the one with the lower id calls; the other calls only if it has not been heard.
 * Invariant: the share of limits follows each change of who is in touch within one round.
 * Thread-safe.
 */
public final class HeartbeatExchange {
    /** Limits of other hosts are at most this old between hosts in touch, and loads while low. */
    private static final Duration INTERVAL = Duration.ofMillis(500);

    /** Changes within this time are reported together. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(10);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);
    private static final Duration COPY_TIMEOUT = Duration.ofMillis(1_000);

    /** A host that knows more for longer than this is asked; a watch takes milliseconds. */
    private static final long BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final FleetView mFleet;
    private final FleetQuota mQuota;
    private final LoadTracker mLoads;
    private final EngineQueues mQueues;
    private final GatewayState mState;
    private final PeerClient mPeers;
    private final List<PeerAddress> mSeeds;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final BooleanSupplier mAccepting;
    private final AtomicBoolean mCopying = new AtomicBoolean();
    private final AtomicBoolean mReporting = new AtomicBoolean();
    private final Disposable.Swap mTask = Disposables.swap();
    private long mBehindSinceNanos;
    private boolean mBehind;
    private double mLastShare;

    /** Creates an exchange that does nothing yet. */
    public HeartbeatExchange(
            FleetView fleet,
            FleetQuota quota,
            LoadTracker loads,
            EngineQueues queues,
            GatewayState state,
            PeerClient peers,
            List<PeerAddress> seeds,
            DecisionLog log,
            Ticker ticker,
            BooleanSupplier accepting) {
        mFleet = fleet;
        mQuota = quota;
        mLoads = loads;
        mQueues = queues;
        mState = state;
        mPeers = peers;
        mSeeds = List.copyOf(seeds);
        mLog = log;
        mTicker = ticker;
        mAccepting = accepting;
    }

    /** Starts the rounds. */
    public void start() {
        mTask.update(Flux.interval(Duration.ZERO, INTERVAL).subscribe(round -> round()));
    }

    /** Stops the rounds. */
    public void stop() {
        mTask.dispose();
    }

    /** Sends a pulse to every host at once, for a change that cannot wait for the next round. */
    public Mono<Void> sendToAll() {
        return Flux.fromIterable(mFleet.others()).flatMap(this::exchange).then();
    }

    /**
     * Reports loads and admissions to all hosts soon, so that they do not pick the same engine or
     * spend the same tokens.
     */
    public void scheduleLoadUpdate() {
        if (mReporting.compareAndSet(false, true)) {
            Mono.delay(REPORT_DELAY).subscribe(tick -> sendReport());
        }
    }

    private void sendReport() {
        mReporting.set(false);
        long nowNanos = mTicker.nowNanos();
        PeerMessage.LoadUpdate report =
                new PeerMessage.LoadUpdate(
                        mFleet.self().id(),
                        mLoads.localLoads(),
                        mQueues.onTimeWork(nowNanos),
                        mQuota.totals());
        mFleet.others().stream()
                .filter(peer -> mFleet.isReachable(peer.id(), nowNanos))
                .map(peer -> PeerAddress.parse(peer.peerAddress()))
                .forEach(peer -> send(peer, report));
    }

    private void send(PeerAddress peer, PeerMessage.LoadUpdate report) {
        // A lost report is made good by the next pulse.
        mPeers.call(peer, report, PeerMessage.Success.class, CALL_TIMEOUT)
                .onErrorComplete()
                .subscribe();
    }

    /** Takes another host's loads in. */
    public PeerMessage.Success handle(PeerMessage.LoadUpdate report) {
        long nowNanos = mTicker.nowNanos();
        mFleet.updateLoads(report.host(), report.loads(), report.waiting(), nowNanos);
        mQuota.mergeReport(report.host(), report.admitted(), nowNanos);
        refreshLoads(nowNanos);
        return new PeerMessage.Success();
    }

    private void refreshLoads(long nowNanos) {
        mLoads.replaceRemoteLoads(
                mFleet.freshHeartbeats(nowNanos).stream()
                        .flatMap(pulse -> pulse.loads().stream())
                        .toList());
    }

    private void round() {
        long nowNanos = mTicker.nowNanos();
        mFleet.removeExpired(nowNanos).forEach(mQuota::removeHost);
        updateShare(nowNanos);
        refreshLoads(nowNanos);
        List<HostRecord> others = mFleet.others();
        others.stream().filter(this::isOurTurn).forEach(peer -> exchange(peer).subscribe());
        if (mFleet.reachableCount(nowNanos) == 1) {
            mSeeds.stream()
                    .filter(seed -> !seed.toString().equals(mFleet.self().peerAddress()))
                    .forEach(seed -> exchange(seed).subscribe());
        }
    }

    private boolean isOurTurn(HostRecord peer) {
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
                        ConnectException.class, e -> Mono.fromRunnable(() -> ended(peer, e)));
    }

    private void ended(HostRecord peer, ConnectException cause) {
        if (mFleet.markStopped(peer.id())) {
            mLog.write(
                    new Decision.PeerSeen(
                            peer.id().value(), peer.peerAddress(), "ended: " + cause.getMessage()));
        }
    }

    private Mono<Void> exchange(PeerAddress address) {
        return mPeers.call(
                        address,
                        new PeerMessage.Heartbeat(pulse()),
                        PeerMessage.Heartbeat.class,
                        CALL_TIMEOUT)
                .doOnNext(answer -> hear(answer.pulse()))
                .then()
                .onErrorResume(
                        e ->
                                e.getCause() instanceof ConnectException refused
                                        ? Mono.error(refused)
                                        : Mono.empty());
    }

    private HostHeartbeat pulse() {
        return new HostHeartbeat(
                mFleet.self(),
                mAccepting.getAsBoolean(),
                mState.revision(),
                mQuota.totals(),
                mLoads.localLoads(),
                mQueues.onTimeWork(mTicker.nowNanos()));
    }

    /** Takes a pulse in and answers it with this host's own. */
    public PeerMessage.Heartbeat handle(PeerMessage.Heartbeat request) {
        hear(request.pulse());
        return new PeerMessage.Heartbeat(pulse());
    }

    private void hear(HostHeartbeat pulse) {
        if (pulse.host().id().equals(mFleet.self().id())) {
            return;
        }
        long nowNanos = mTicker.nowNanos();
        if (mFleet.recordHeartbeat(pulse, nowNanos)) {
            mLog.write(
                    new Decision.PeerSeen(
                            pulse.host().id().value(), pulse.host().peerAddress(), "in-touch"));
        }
        mQuota.mergeReport(pulse.host().id(), pulse.admitted(), nowNanos);
        if (isBehind(pulse, nowNanos) && mCopying.compareAndSet(false, true)) {
            copyFrom(pulse.host());
        }
    }

    private synchronized boolean isBehind(HostHeartbeat pulse, long nowNanos) {
        if (pulse.stateRevision() <= mState.revision()) {
            mBehind = false;
            return false;
        }
        if (!mBehind) {
            mBehind = true;
            mBehindSinceNanos = nowNanos;
        }
        return mState.table().isEmpty() || nowNanos - mBehindSinceNanos >= BEHIND_NANOS;
    }

    private void copyFrom(HostRecord peer) {
        long before = mState.revision();
        mPeers.call(
                        PeerAddress.parse(peer.peerAddress()),
                        new PeerMessage.FetchStoreEntries(),
                        PeerMessage.StoreEntriesResponse.class,
                        COPY_TIMEOUT)
                .doOnNext(copy -> mState.applySnapshot(copy.revision(), toStoreEntries(copy)))
                .doOnNext(copy -> logCopy(peer, before, copy.revision()))
                .doFinally(signal -> mCopying.set(false))
                .subscribe(copy -> {}, e -> logFailure(peer, e));
    }

    private void logCopy(HostRecord peer, long before, long after) {
        mLog.write(new Decision.StateCopied(peer.id().value(), before, after));
    }

    private void logFailure(HostRecord peer, Throwable cause) {
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

    /** Returns all that this host knows of the store, for one that knows less. */
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
