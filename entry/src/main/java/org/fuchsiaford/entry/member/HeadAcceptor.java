package org.fuchsiaford.entry.member;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.host.GrantorSet;
import org.fuchsiaford.host.GrantorTable;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.store.StoreSnapshot;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Has a swapped head accepted: informs a majority of each panel of the bundle before, waits until
 * no host can act on that any more, and marks the head. Any host may do so, and several at once do
 * no harm; hosts take turns in an order that differs for each generation.
 *
 * <p>Thread-safe.
 */
public final class HeadAcceptor {
    private static final Logger LOG = Logger.getLogger(HeadAcceptor.class);
    private static final Duration TURN = Duration.ofMillis(1_000);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final BundleLoader mLoader;
    private final GrantorNotifier mInformer;
    private final Store mStore;
    private final RecordStore mRecords;
    private final AtomicReference<Generation> mDriving = new AtomicReference<>(Generation.NONE);

    /** Creates a driver. */
    public HeadAcceptor(
            Membership membership,
            SlotDirectory directory,
            BundleLoader loader,
            GrantorNotifier informer,
            Store store) {
        mMembership = membership;
        mDirectory = directory;
        mLoader = loader;
        mInformer = informer;
        mStore = store;
        mRecords = new RecordStore(store);
    }

    /**
     * Drives the newest head if it is not accepted and nobody else got it done by this host's turn.
     */
    public Mono<Void> acceptIfPending() {
        Optional<BundleHead> head = mMembership.newestHead().filter(h -> !h.accepted());
        Generation driving = mDriving.get();
        boolean fresh = head.filter(h -> !h.generation().equals(driving)).isPresent();
        if (!fresh || !mDriving.compareAndSet(driving, head.get().generation())) {
            return Mono.empty();
        }
        return Mono.delay(TURN.multipliedBy(turn(head.get().generation())))
                .then(Mono.defer(this::acceptNewest))
                .doFinally(signal -> mDriving.set(Generation.NONE));
    }

    private long turn(Generation generation) {
        List<SlotId> order = mDirectory.rankServing("accept/" + generation.number());
        return mMembership
                .heldSlot()
                .map(held -> order.indexOf(held.slot()))
                .filter(index -> index >= 0)
                .orElse(order.size());
    }

    private Mono<Void> acceptNewest() {
        return mStore.read(List.of(StoreKeys.HEAD))
                .flatMap(
                        head ->
                                mStore.readPrefix(StoreKeys.SLOT_PREFIX)
                                        .flatMap(slots -> accept(head, slots)))
                .doOnError(e -> LOG.warnf("head not accepted yet: %s", e.getMessage()))
                .onErrorResume(e -> Mono.empty());
    }

    private Mono<Void> accept(StoreSnapshot headRead, StoreSnapshot slotsRead) {
        return Mono.fromCallable(() -> RecordStore.find(headRead, StoreKeys.HEAD, BundleHead.class))
                .flatMap(Mono::justOrEmpty)
                .filter(head -> !head.accepted())
                .flatMap(head -> fence(head, slotsRead).then(mark(head, headRead)));
    }

    private Mono<Void> fence(BundleHead head, StoreSnapshot slotsRead) {
        if (head.previousManifest() == null) {
            return Mono.empty();
        }
        PeerMessage notice = new PeerMessage.AnnounceHead(head);
        return mLoader.loadManifest(head.previousManifest(), List.of())
                .flatMap(
                        bundle ->
                                Mono.fromCallable(() -> SlotTable.of(slotsRead))
                                        .flatMap(
                                                table ->
                                                        mInformer.notifyAndWait(
                                                                panels(bundle), table, notice)));
    }

    private static List<GrantorSet> panels(Bundle bundle) {
        return new GrantorTable(bundle.entrySlots()).grantorSets();
    }

    private Mono<Void> mark(BundleHead head, StoreSnapshot headRead) {
        return Mono.defer(
                        () ->
                                mRecords.compareAndSwap(
                                        StoreKeys.HEAD,
                                        headRead.revisionOf(StoreKeys.HEAD),
                                        head.asAccepted(),
                                        StoreLeaseId.NONE))
                .filter(swap -> swap == RecordStore.SwapResult.SWAPPED)
                .doOnNext(swap -> mMembership.markAccepted(head.generation()))
                .doOnNext(swap -> LOG.infof("generation %d accepted", head.generation().number()))
                .then();
    }
}
