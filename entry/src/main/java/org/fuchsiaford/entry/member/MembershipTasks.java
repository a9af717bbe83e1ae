package org.fuchsiaford.entry.member;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.host.LeaseTiming;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKeys;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Runs the periodic tasks of membership: watching the store, renewing leases, claiming and vacating
 * slots, and accepting heads. Runs of one task never overlap; a task continues after a failed run.
 *
 * <p>Thread-safe.
 */
public final class MembershipTasks {
    // Operators' log filters match this category, which is an earlier name of this class.
    private static final Logger LOG = Logger.getLogger("org.fuchsiaford.entry.member.MemberLoop");
    private static final Duration LEASE_RENEWAL_INTERVAL =
            Duration.ofMillis(TimeUnit.NANOSECONDS.toMillis(LeaseTiming.RENEWAL_INTERVAL_NANOS));
    private static final Duration ACCEPTANCE_INTERVAL = Duration.ofMillis(250);
    private static final Duration CLAIM_INTERVAL = Duration.ofMillis(500);
    private static final Duration WATCH_RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration HEAD_CHECK_INTERVAL = Duration.ofSeconds(10);
    private static final Duration VACATE_INTERVAL = Duration.ofSeconds(5);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final HeadFollower mFollower;
    private final LeaseRenewer mRenewer;
    private final SlotClaimer mClaimer;
    private final HeadAcceptor mAcceptor;
    private final LivenessKey mLivenessKey;
    private final Store mStore;
    private final Disposable.Composite mTasks = Disposables.composite();
    private volatile boolean mClaiming = true;

    /** Creates an instance; the tasks run after {@link #start}. */
    public MembershipTasks(
            Membership membership,
            SlotDirectory directory,
            HeadFollower follower,
            LeaseRenewer renewer,
            SlotClaimer claimer,
            HeadAcceptor acceptor,
            LivenessKey livenessKey,
            Store store) {
        mMembership = membership;
        mDirectory = directory;
        mFollower = follower;
        mRenewer = renewer;
        mClaimer = claimer;
        mAcceptor = acceptor;
        mLivenessKey = livenessKey;
        mStore = store;
    }

    /** Starts all tasks. */
    public void start() {
        repeat(WATCH_RETRY_PAUSE, this::watchStore);
        repeat(LEASE_RENEWAL_INTERVAL, mRenewer::renew);
        repeat(CLAIM_INTERVAL, () -> mClaiming ? mClaimer.claimAny() : Mono.empty());
        repeat(ACCEPTANCE_INTERVAL, mAcceptor::acceptIfPending);
        repeat(CLAIM_INTERVAL, () -> mClaiming ? mLivenessKey.maintain() : Mono.empty());
        repeat(VACATE_INTERVAL, this::vacateUnused);
    }

    /** Stops claiming slots and maintaining the liveness key; leases are still renewed. */
    public void stopClaiming() {
        mClaiming = false;
    }

    /** Stops all tasks. */
    public void stop() {
        mTasks.dispose();
    }

    private void repeat(Duration pause, Supplier<Mono<Void>> task) {
        mTasks.add(
                Mono.defer(task)
                        .doOnError(e -> LOG.debugf("membership task failed: %s", e.getMessage()))
                        .onErrorResume(e -> Mono.empty())
                        .then(Mono.delay(pause))
                        .repeat()
                        .subscribe());
    }

    /**
     * Reads all records and then applies changes as they occur. If the store is unavailable, asks
     * other hosts instead.
     */
    private Mono<Void> watchStore() {
        return mStore.readPrefix(StoreKeys.SLOT_PREFIX)
                .zipWith(mStore.readPrefix(StoreKeys.LIVENESS_PREFIX))
                .doOnNext(reads -> mDirectory.replace(reads.getT1(), reads.getT2()))
                .then(mStore.read(List.of(StoreKeys.HEAD)))
                .doOnNext(head -> head.entry(StoreKeys.HEAD).ifPresent(e -> follow(e.value())))
                .flatMapMany(head -> watchFrom(head.revision() + 1))
                .takeUntilOther(headMissedByWatch())
                .doOnNext(this::apply)
                .then()
                .onErrorResume(e -> mFollower.fetchFromPeers());
    }

    /**
     * Emits a head that the store has but the watch did not deliver, which detects a watch whose
     * connection is stalled. The watch is then ended, and the next run reads all records again.
     */
    private Mono<BundleHead> headMissedByWatch() {
        return Flux.interval(HEAD_CHECK_INTERVAL)
                .onBackpressureDrop()
                .concatMap(tick -> mStore.read(List.of(StoreKeys.HEAD)))
                .concatMap(
                        read ->
                                Mono.fromCallable(
                                        () ->
                                                RecordStore.find(
                                                        read, StoreKeys.HEAD, BundleHead.class)))
                .flatMap(Mono::justOrEmpty)
                .filter(head -> mMembership.newestGeneration().isBefore(head.generation()))
                .next();
    }

    /**
     * Watches only the ranges in use, so that bundle chunks and other records are not transferred.
     */
    private Flux<StoreChange> watchFrom(long revision) {
        return Flux.merge(
                mStore.watch(StoreKeys.HEAD, revision),
                mStore.watch(StoreKeys.SLOT_PREFIX, revision),
                mStore.watch(StoreKeys.LIVENESS_PREFIX, revision));
    }

    private void apply(StoreChange change) {
        if (!change.key().equals(StoreKeys.HEAD)) {
            mDirectory.apply(change);
        } else if (!change.isDeletion()) {
            follow(change.value());
        }
    }

    private void follow(byte[] value) {
        try {
            mFollower.follow(RecordStore.decode(value, BundleHead.class));
        } catch (StoreException e) {
            LOG.errorf("bundle head record ignored: %s", e.getMessage());
        }
    }

    /**
     * Vacates slots whose holder is no longer live; rendezvous hashing selects one host to do so
     * for each slot. Also vacates slots that still name this host because of a claim that it did
     * not complete.
     */
    private Mono<Void> vacateUnused() {
        return Flux.fromStream(mDirectory.records().stream())
                .filter(SlotRecord::isOccupied)
                .filter(record -> isAbandoned(record) || isOwnTurnToVacate(record.slot()))
                .map(SlotRecord::slot)
                .concatMap(slot -> mClaimer.vacate(slot).onErrorReturn(false))
                .then();
    }

    private boolean isAbandoned(SlotRecord record) {
        return mMembership.heldSlot().isPresent()
                && record.host().equals(mMembership.host())
                && mMembership.heldSlot().filter(h -> h.slot().equals(record.slot())).isEmpty();
    }

    private boolean isOwnTurnToVacate(SlotId slot) {
        return !mDirectory.isLive(slot) && isFirstInRank(slot);
    }

    private boolean isFirstInRank(SlotId slot) {
        List<SlotId> order = mDirectory.rankServing("vacate/" + slot);
        return mMembership
                .heldSlot()
                .filter(held -> !order.isEmpty() && held.slot().equals(order.get(0)))
                .isPresent();
    }
}
