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
 * Runs the periodic work of membership: watching the store, renewing leases, claiming slots, having
 * heads accepted. Each task runs once at a time; a failed run is followed by the next.
 *
 * <p>Thread-safe.
 */
public final class MembershipTasks {
    private static final Logger LOG = Logger.getLogger(MembershipTasks.class);
    private static final Duration RENEWAL =
            Duration.ofMillis(TimeUnit.NANOSECONDS.toMillis(LeaseTiming.RENEWAL_INTERVAL_NANOS));
    private static final Duration ACCEPTANCE_POLL = Duration.ofMillis(250);
    private static final Duration CLAIM_POLL = Duration.ofMillis(500);
    private static final Duration WATCH_PAUSE = Duration.ofMillis(200);
    private static final Duration HEAD_POLL = Duration.ofSeconds(10);
    private static final Duration VACATE_POLL = Duration.ofSeconds(5);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final HeadFollower mFollower;
    private final LeaseRenewer mRenewer;
    private final SlotClaimer mClaimer;
    private final HeadAcceptor mAcceptance;
    private final LivenessKey mLiveKey;
    private final Store mStore;
    private final Disposable.Composite mTasks = Disposables.composite();
    private volatile boolean mClaiming = true;

    /** Creates the loop; it runs once {@link #start} is called. */
    public MembershipTasks(
            Membership membership,
            SlotDirectory directory,
            HeadFollower follower,
            LeaseRenewer renewer,
            SlotClaimer claimer,
            HeadAcceptor acceptance,
            LivenessKey liveKey,
            Store store) {
        mMembership = membership;
        mDirectory = directory;
        mFollower = follower;
        mRenewer = renewer;
        mClaimer = claimer;
        mAcceptance = acceptance;
        mLiveKey = liveKey;
        mStore = store;
    }

    /** Starts all tasks. */
    public void start() {
        repeat(WATCH_PAUSE, this::watchStore);
        repeat(RENEWAL, mRenewer::renew);
        repeat(CLAIM_POLL, () -> mClaiming ? mClaimer.claimAny() : Mono.empty());
        repeat(ACCEPTANCE_POLL, mAcceptance::acceptIfPending);
        repeat(CLAIM_POLL, () -> mClaiming ? mLiveKey.maintain() : Mono.empty());
        repeat(VACATE_POLL, this::vacateGone);
    }

    /** Stops claiming slots and keeping the live key; leases are still renewed. */
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
                        .doOnError(e -> LOG.debugf("task failed: %s", e.getMessage()))
                        .onErrorResume(e -> Mono.empty())
                        .then(Mono.delay(pause))
                        .repeat()
                        .subscribe());
    }

    /** Reads all records, then follows changes; ends with an error when the store cannot be had. */
    private Mono<Void> watchStore() {
        return mStore.readPrefix(StoreKeys.SLOT_PREFIX)
                .zipWith(mStore.readPrefix(StoreKeys.LIVENESS_PREFIX))
                .doOnNext(reads -> mDirectory.replace(reads.getT1(), reads.getT2()))
                .then(mStore.read(List.of(StoreKeys.HEAD)))
                .doOnNext(head -> head.entry(StoreKeys.HEAD).ifPresent(e -> follow(e.value())))
                .flatMapMany(head -> watchFrom(head.revision() + 1))
                .takeUntilOther(missedHead())
                .doOnNext(this::apply)
                .then()
                .onErrorResume(e -> mFollower.fetchFromPeers());
    }

    /**
     * Emits when the store has a head that no watch has told of. A watch whose connection has gone
     * silent is found so, and all records are read anew.
     */
    private Mono<BundleHead> missedHead() {
        return Flux.interval(HEAD_POLL)
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

    /** One watch for each range that matters, so that pieces and other records stay out. */
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
            LOG.errorf("%s", e.getMessage());
        }
    }

    /**
     * Vacates slots whose holder is gone, each by one host, by turns of rendezvous hashing; and
     * slots that carry this host's name from a claim that it did not finish.
     */
    private Mono<Void> vacateGone() {
        return Flux.fromStream(mDirectory.records().stream())
                .filter(SlotRecord::isOccupied)
                .filter(record -> isAbandoned(record) || isGone(record.slot()))
                .map(SlotRecord::slot)
                .concatMap(slot -> mClaimer.vacate(slot).onErrorReturn(false))
                .then();
    }

    private boolean isAbandoned(SlotRecord record) {
        return mMembership.heldSlot().isPresent()
                && record.host().equals(mMembership.host())
                && mMembership.heldSlot().filter(h -> h.slot().equals(record.slot())).isEmpty();
    }

    private boolean isGone(SlotId slot) {
        return !mDirectory.isLive(slot) && isOwnTurn(slot);
    }

    private boolean isOwnTurn(SlotId slot) {
        List<SlotId> order = mDirectory.rankServing("vacate/" + slot);
        return mMembership
                .heldSlot()
                .filter(held -> !order.isEmpty() && held.slot().equals(order.get(0)))
                .isPresent();
    }
}
