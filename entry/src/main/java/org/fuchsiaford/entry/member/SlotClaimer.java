package org.fuchsiaford.entry.member;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.hash.RendezvousHash;
import org.fuchsiaford.host.HostProcess;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.LeaseGrantor;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.host.SlotRecord.State;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.store.StoreSnapshot;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.HomeBuckets;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Claims slots: for this host while it has none, and on behalf of nobody to vacate a slot whose
 * holder is gone. The claim is a compare-and-swap, followed by the fencing of the former holder.
 *
 * <p>Invariant: a slot is held only after every former holder is fenced; whether a holder looks
 * dead decides when to claim, never whether it is safe. Thread-safe.
 */
public final class SlotClaimer {
    private static final Logger LOG = Logger.getLogger(SlotClaimer.class);

    private final Membership mMembership;
    private final SlotFencing mFencing;
    private final HostProbe mDeathProof;
    private final Store mStore;
    private final RecordStore mRecords;
    private final HostAddresses mAddresses;
    private final Ticker mTicker;
    private final Set<SlotId> mUnderWay = ConcurrentHashMap.newKeySet();

    /** Creates a claimer. */
    public SlotClaimer(
            Membership membership,
            SlotFencing fencing,
            HostProbe deathProof,
            Store store,
            HostAddresses addresses,
            Ticker ticker) {
        mMembership = membership;
        mFencing = fencing;
        mDeathProof = deathProof;
        mStore = store;
        mRecords = new RecordStore(store);
        mAddresses = addresses;
        mTicker = ticker;
    }

    /** Claims a free slot of this host's failure domain; completes without one if there is none. */
    public Mono<Void> claimAny() {
        if (mMembership.heldSlot().isPresent() || mMembership.newestView().isEmpty()) {
            return Mono.empty();
        }
        List<EntrySlot> slots =
                mMembership.newestView().get().index().bundle().entrySlots().stream()
                        .filter(slot -> slot.failureDomain().equals(mAddresses.failureDomain()))
                        .toList();
        List<SlotId> order =
                RendezvousHash.rank(
                        mAddresses.host().value(), slots.stream().map(EntrySlot::id).toList());
        return Flux.fromIterable(order)
                .concatMap(slot -> tryClaim(slot, State.HELD).onErrorReturn(false))
                .takeUntil(claimed -> claimed)
                .then();
    }

    /** Vacates a slot whose holder seems gone, so that it no longer holds up acceptance. */
    public Mono<Boolean> vacate(SlotId slot) {
        return tryClaim(slot, State.VACANT);
    }

    private Mono<Boolean> tryClaim(SlotId slot, State goal) {
        return Mono.defer(
                () -> {
                    if (!mUnderWay.add(slot)) {
                        return Mono.just(false);
                    }
                    return mStore.read(List.of(StoreKeys.slot(slot), StoreKeys.liveness(slot)))
                            .flatMap(snapshot -> claim(slot, goal, snapshot))
                            .doOnError(e -> LOG.debugf("claim failed: %s", e.getMessage()))
                            .doFinally(signal -> mUnderWay.remove(slot));
                });
    }

    private Mono<Boolean> claim(SlotId slot, State goal, StoreSnapshot snapshot) {
        return Mono.fromCallable(
                        () -> RecordStore.find(snapshot, StoreKeys.slot(slot), SlotRecord.class))
                .flatMap(found -> claim(slot, goal, snapshot, found));
    }

    private Mono<Boolean> claim(
            SlotId slot, State goal, StoreSnapshot snapshot, Optional<SlotRecord> found) {
        // This host does not act on a slot that it does not hold, whatever its record says.
        Optional<HostProcess> former =
                found.flatMap(SlotRecord::activeProcess)
                        .filter(process -> !process.host().equals(mAddresses.host()));
        if (goal == State.VACANT && found.filter(SlotRecord::isOccupied).isEmpty()) {
            return Mono.just(false);
        }
        boolean live = snapshot.entry(StoreKeys.liveness(slot)).isPresent();
        Incarnation next = found.map(r -> r.incarnation().next()).orElse(new Incarnation(1));
        SlotRecord claim =
                mAddresses.slotRecord(slot, next, State.CLAIMED).asClaimFrom(former.orElse(null));
        long revision = snapshot.revisionOf(StoreKeys.slot(slot));
        return seemsGone(found, live)
                .filter(gone -> gone)
                .flatMap(gone -> swap(claim, revision))
                .filter(swap -> swap == RecordStore.SwapResult.SWAPPED)
                .flatMap(
                        swap ->
                                former.isEmpty()
                                        ? Mono.just(true)
                                        : mFencing.fence(claim, former.get()))
                .flatMap(done -> finish(claim, goal))
                .defaultIfEmpty(false);
    }

    private Mono<RecordStore.SwapResult> swap(SlotRecord record, long revision) {
        return mRecords.compareAndSwap(
                StoreKeys.slot(record.slot()), revision, record, StoreLeaseId.NONE);
    }

    /**
     * Whether the record's process seems gone. One that answers is not, even if the store has lost
     * its live key in an outage; one that is proved dead is, even if its live key remains.
     */
    private Mono<Boolean> seemsGone(Optional<SlotRecord> found, boolean live) {
        if (found.filter(SlotRecord::isOccupied).isEmpty()) {
            return Mono.just(true);
        }
        SlotRecord record = found.get();
        if (record.host().equals(mAddresses.host())) {
            return Mono.just(!holds(record.slot()));
        }
        return mDeathProof
                .probe(new HostProcess(record.host(), record.peerAddress()))
                .map(
                        finding ->
                                switch (finding) {
                                    case ALIVE -> false;
                                    case DEAD -> true;
                                    case NO_RESPONSE -> !live;
                                });
    }

    private boolean holds(SlotId slot) {
        return mMembership.heldSlot().filter(held -> held.slot().equals(slot)).isPresent();
    }

    private Mono<Boolean> finish(SlotRecord claim, State goal) {
        return mStore.read(List.of(StoreKeys.slot(claim.slot())))
                .flatMap(
                        snapshot ->
                                Mono.fromCallable(() -> isStill(claim, snapshot))
                                        .filter(still -> still)
                                        .flatMap(
                                                still ->
                                                        swap(
                                                                claim.withState(goal),
                                                                snapshot.revisionOf(
                                                                        StoreKeys.slot(
                                                                                claim.slot())))))
                .filter(swap -> swap == RecordStore.SwapResult.SWAPPED)
                .flatMap(swap -> goal == State.HELD ? hold(claim) : Mono.just(true));
    }

    private static boolean isStill(SlotRecord claim, StoreSnapshot snapshot) throws StoreException {
        return RecordStore.find(snapshot, StoreKeys.slot(claim.slot()), SlotRecord.class)
                .filter(claim::equals)
                .isPresent();
    }

    /** Reads head and slots once more, after the fencing, and only then starts to promise. */
    private Mono<Boolean> hold(SlotRecord claim) {
        long askedNanos = mTicker.nowNanos();
        return mStore.read(List.of(StoreKeys.HEAD))
                .zipWith(mStore.readPrefix(StoreKeys.SLOT_PREFIX))
                .flatMap(
                        reads ->
                                Mono.fromCallable(
                                        () ->
                                                hold(
                                                        claim,
                                                        SlotFencing.head(reads.getT1()),
                                                        SlotTable.of(reads.getT2()),
                                                        askedNanos)));
    }

    private boolean hold(SlotRecord claim, BundleHead head, SlotTable table, long askedNanos) {
        boolean own =
                table.record(claim.slot())
                        .filter(record -> record.host().equals(claim.host()))
                        .filter(record -> record.incarnation().equals(claim.incarnation()))
                        .isPresent();
        if (!own) {
            return false;
        }
        LeaseGrantor book = new LeaseGrantor(head.generation());
        table.records().forEach(record -> book.observe(record.slot(), record.incarnation()));
        HomeBuckets ledger = new HomeBuckets(claim.slot());
        mMembership.holdSlot(
                new HeldSlot(claim.slot(), claim.incarnation(), book, ledger),
                head.generation(),
                askedNanos);
        LOG.infof("holds slot %s as incarnation %d", claim.slot(), claim.incarnation().number());
        return true;
    }

    /**
     * Changes the state of this host's own slot: to leaving when it begins to shut down, to vacant
     * after it has stopped acting on it.
     */
    public Mono<Void> changeState(HeldSlot held, State state) {
        StoreKey key = StoreKeys.slot(held.slot());
        SlotRecord next = mAddresses.slotRecord(held.slot(), held.incarnation(), state);
        return mStore.read(List.of(key))
                .flatMap(
                        snapshot ->
                                Mono.fromCallable(
                                                () ->
                                                        RecordStore.find(
                                                                snapshot, key, SlotRecord.class))
                                        .flatMap(Mono::justOrEmpty)
                                        .filter(record -> isOwn(record, held))
                                        .flatMap(own -> swap(next, snapshot.revisionOf(key))))
                .then();
    }

    private boolean isOwn(SlotRecord record, HeldSlot held) {
        return record.host().equals(mAddresses.host())
                && record.incarnation().equals(held.incarnation());
    }
}
