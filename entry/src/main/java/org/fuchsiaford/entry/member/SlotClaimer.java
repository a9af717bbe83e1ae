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
 * Claims slots, either for this host while it holds none, or to vacate a slot whose holder is gone.
 * A claim is a compare-and-swap of the slot record, followed by fencing of the former holder.
 *
 * <p>Invariant: a slot is held only after every former holder is fenced. Whether a holder appears
 * dead determines only when to claim, never whether acting on the slot is safe. Thread-safe.
 */
public final class SlotClaimer {
    private static final Logger LOG = Logger.getLogger(SlotClaimer.class);

    private final Membership mMembership;
    private final SlotFencing mFencing;
    private final HostProbe mProbe;
    private final Store mStore;
    private final RecordStore mRecords;
    private final HostAddresses mAddresses;
    private final Ticker mTicker;
    private final Set<SlotId> mClaimsInProgress = ConcurrentHashMap.newKeySet();

    /** Creates a claimer. */
    public SlotClaimer(
            Membership membership,
            SlotFencing fencing,
            HostProbe probe,
            Store store,
            HostAddresses addresses,
            Ticker ticker) {
        mMembership = membership;
        mFencing = fencing;
        mProbe = probe;
        mStore = store;
        mRecords = new RecordStore(store);
        mAddresses = addresses;
        mTicker = ticker;
    }

    /**
     * Claims a slot in this host's failure domain that is vacant or whose holder appears gone;
     * completes without a slot if there is none, and does nothing if this host holds one.
     */
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

    /**
     * Vacates a slot whose holder appears gone, so that it no longer delays the acceptance of
     * heads.
     */
    public Mono<Boolean> vacate(SlotId slot) {
        return tryClaim(slot, State.VACANT);
    }

    private Mono<Boolean> tryClaim(SlotId slot, State targetState) {
        return Mono.defer(
                () -> {
                    if (!mClaimsInProgress.add(slot)) {
                        return Mono.just(false);
                    }
                    return mStore.read(List.of(StoreKeys.slot(slot), StoreKeys.liveness(slot)))
                            .flatMap(snapshot -> claim(slot, targetState, snapshot))
                            .doOnError(e -> LOG.debugf("slot claim failed: %s", e.getMessage()))
                            .doFinally(signal -> mClaimsInProgress.remove(slot));
                });
    }

    private Mono<Boolean> claim(SlotId slot, State targetState, StoreSnapshot snapshot) {
        return Mono.fromCallable(
                        () -> RecordStore.find(snapshot, StoreKeys.slot(slot), SlotRecord.class))
                .flatMap(found -> claim(slot, targetState, snapshot, found));
    }

    private Mono<Boolean> claim(
            SlotId slot, State targetState, StoreSnapshot snapshot, Optional<SlotRecord> found) {
        // This host never acts on a slot that it does not hold, even if the record names it as
        // holder.
        Optional<HostProcess> former =
                found.flatMap(SlotRecord::activeProcess)
                        .filter(process -> !process.host().equals(mAddresses.host()));
        if (targetState == State.VACANT && found.filter(SlotRecord::isOccupied).isEmpty()) {
            return Mono.just(false);
        }
        boolean holderLive = snapshot.entry(StoreKeys.liveness(slot)).isPresent();
        Incarnation next = found.map(r -> r.incarnation().next()).orElse(new Incarnation(1));
        SlotRecord claim =
                mAddresses.slotRecord(slot, next, State.CLAIMED).asClaimFrom(former.orElse(null));
        long revision = snapshot.revisionOf(StoreKeys.slot(slot));
        return isHolderGone(found, holderLive)
                .filter(gone -> gone)
                .flatMap(gone -> swap(claim, revision))
                .filter(swap -> swap == RecordStore.SwapResult.SWAPPED)
                .flatMap(
                        swap ->
                                former.isEmpty()
                                        ? Mono.just(true)
                                        : mFencing.fence(claim, former.get()))
                .flatMap(fenced -> complete(claim, targetState))
                .defaultIfEmpty(false);
    }

    private Mono<RecordStore.SwapResult> swap(SlotRecord record, long revision) {
        return mRecords.compareAndSwap(
                StoreKeys.slot(record.slot()), revision, record, StoreLeaseId.NONE);
    }

    /**
     * Returns whether the holder named by a record appears gone. A process that responds is not
     * gone, even if its liveness key expired during a store outage; a process that is proved dead
     * is gone, even if its liveness key still exists.
     */
    private Mono<Boolean> isHolderGone(Optional<SlotRecord> found, boolean holderLive) {
        if (found.filter(SlotRecord::isOccupied).isEmpty()) {
            return Mono.just(true);
        }
        SlotRecord record = found.get();
        if (record.host().equals(mAddresses.host())) {
            return Mono.just(!holds(record.slot()));
        }
        return mProbe.probe(new HostProcess(record.host(), record.peerAddress()))
                .map(
                        result ->
                                switch (result) {
                                    case ALIVE -> false;
                                    case DEAD -> true;
                                    case NO_RESPONSE -> !holderLive;
                                });
    }

    private boolean holds(SlotId slot) {
        return mMembership.heldSlot().filter(held -> held.slot().equals(slot)).isPresent();
    }

    private Mono<Boolean> complete(SlotRecord claim, State targetState) {
        return mStore.read(List.of(StoreKeys.slot(claim.slot())))
                .flatMap(
                        snapshot ->
                                Mono.fromCallable(() -> isUnchanged(claim, snapshot))
                                        .filter(unchanged -> unchanged)
                                        .flatMap(
                                                unchanged ->
                                                        swap(
                                                                claim.withState(targetState),
                                                                snapshot.revisionOf(
                                                                        StoreKeys.slot(
                                                                                claim.slot())))))
                .filter(swap -> swap == RecordStore.SwapResult.SWAPPED)
                .flatMap(swap -> targetState == State.HELD ? hold(claim) : Mono.just(true));
    }

    private static boolean isUnchanged(SlotRecord claim, StoreSnapshot snapshot)
            throws StoreException {
        return RecordStore.find(snapshot, StoreKeys.slot(claim.slot()), SlotRecord.class)
                .filter(claim::equals)
                .isPresent();
    }

    /** Reads head and slots again after the fencing, and only then starts to grant leases. */
    private Mono<Boolean> hold(SlotRecord claim) {
        long sentNanos = mTicker.nowNanos();
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
                                                        sentNanos)));
    }

    private boolean hold(SlotRecord claim, BundleHead head, SlotTable table, long sentNanos) {
        boolean own =
                table.record(claim.slot())
                        .filter(record -> record.host().equals(claim.host()))
                        .filter(record -> record.incarnation().equals(claim.incarnation()))
                        .isPresent();
        if (!own) {
            return false;
        }
        LeaseGrantor grantor = new LeaseGrantor(head.generation());
        table.records().forEach(record -> grantor.observe(record.slot(), record.incarnation()));
        HomeBuckets buckets = new HomeBuckets(claim.slot());
        mMembership.holdSlot(
                new HeldSlot(claim.slot(), claim.incarnation(), grantor, buckets),
                head.generation(),
                sentNanos);
        LOG.infof("holding slot %s as incarnation %d", claim.slot(), claim.incarnation().number());
        return true;
    }

    /**
     * Changes the state in the record of this host's slot: to leaving when the host begins to shut
     * down, to vacant after it has stopped acting on the slot.
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
