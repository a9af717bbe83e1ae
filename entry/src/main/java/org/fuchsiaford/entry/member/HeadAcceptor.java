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
 * Accepts a bundle head after it has been swapped into the store: notifies a majority of each
 * grantor set of the previous bundle, waits until no host can act on that bundle any more, and
 * marks the head as accepted in the store. Any host may do this, and several may do it at once
 * without harm; hosts take turns in an order that differs for each generation, to avoid duplicate
 * work.
 *
 * <p>Thread-safe.
 */
public final class HeadAcceptor {
    // Operators' log filters match this category, which is an earlier name of this class.
    private static final Logger LOG =
            Logger.getLogger("org.fuchsiaford.entry.member.AcceptanceDriver");
    private static final Duration TURN_LENGTH = Duration.ofMillis(1_000);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final BundleLoader mLoader;
    private final GrantorNotifier mNotifier;
    private final Store mStore;
    private final RecordStore mRecords;
    private final AtomicReference<Generation> mInProgress = new AtomicReference<>(Generation.NONE);

    /** Creates an acceptor. */
    public HeadAcceptor(
            Membership membership,
            SlotDirectory directory,
            BundleLoader loader,
            GrantorNotifier notifier,
            Store store) {
        mMembership = membership;
        mDirectory = directory;
        mLoader = loader;
        mNotifier = notifier;
        mStore = store;
        mRecords = new RecordStore(store);
    }

    /**
     * Accepts the newest head unless it is already accepted, or another host accepts it before this
     * host's turn. Does nothing while an earlier call for the same head is in progress.
     */
    public Mono<Void> acceptIfPending() {
        Optional<BundleHead> head = mMembership.newestHead().filter(h -> !h.accepted());
        Generation inProgress = mInProgress.get();
        boolean startable = head.filter(h -> !h.generation().equals(inProgress)).isPresent();
        if (!startable || !mInProgress.compareAndSet(inProgress, head.get().generation())) {
            return Mono.empty();
        }
        return Mono.delay(TURN_LENGTH.multipliedBy(turnIndex(head.get().generation())))
                .then(Mono.defer(this::readAndAccept))
                .doFinally(signal -> mInProgress.set(Generation.NONE));
    }

    private long turnIndex(Generation generation) {
        List<SlotId> order = mDirectory.rankServing("accept/" + generation.number());
        return mMembership
                .heldSlot()
                .map(held -> order.indexOf(held.slot()))
                .filter(index -> index >= 0)
                .orElse(order.size());
    }

    private Mono<Void> readAndAccept() {
        return mStore.read(List.of(StoreKeys.HEAD))
                .flatMap(
                        head ->
                                mStore.readPrefix(StoreKeys.SLOT_PREFIX)
                                        .flatMap(slots -> accept(head, slots)))
                .doOnError(
                        e -> LOG.warnf("bundle head not accepted, will retry: %s", e.getMessage()))
                .onErrorResume(e -> Mono.empty());
    }

    private Mono<Void> accept(StoreSnapshot headSnapshot, StoreSnapshot slotSnapshot) {
        return Mono.fromCallable(
                        () -> RecordStore.find(headSnapshot, StoreKeys.HEAD, BundleHead.class))
                .flatMap(Mono::justOrEmpty)
                .filter(head -> !head.accepted())
                .flatMap(
                        head ->
                                fencePrevious(head, slotSnapshot)
                                        .then(markInStore(head, headSnapshot)));
    }

    private Mono<Void> fencePrevious(BundleHead head, StoreSnapshot slotSnapshot) {
        if (head.previousManifest() == null) {
            return Mono.empty();
        }
        PeerMessage notice = new PeerMessage.AnnounceHead(head);
        return mLoader.loadByManifest(head.previousManifest(), List.of())
                .flatMap(
                        bundle ->
                                Mono.fromCallable(() -> SlotTable.of(slotSnapshot))
                                        .flatMap(
                                                table ->
                                                        mNotifier.notifyAndWait(
                                                                grantorSets(bundle),
                                                                table,
                                                                notice)));
    }

    private static List<GrantorSet> grantorSets(Bundle bundle) {
        return new GrantorTable(bundle.entrySlots()).grantorSets();
    }

    private Mono<Void> markInStore(BundleHead head, StoreSnapshot headSnapshot) {
        return Mono.defer(
                        () ->
                                mRecords.compareAndSwap(
                                        StoreKeys.HEAD,
                                        headSnapshot.revisionOf(StoreKeys.HEAD),
                                        head.asAccepted(),
                                        StoreLeaseId.NONE))
                .filter(result -> result == RecordStore.SwapResult.SWAPPED)
                .doOnNext(result -> mMembership.markAccepted(head.generation()))
                .doOnNext(result -> LOG.infof("generation %d accepted", head.generation().number()))
                .then();
    }
}
