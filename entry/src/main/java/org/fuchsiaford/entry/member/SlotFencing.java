package org.fuchsiaford.entry.member;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.host.GrantorSet;
import org.fuchsiaford.host.GrantorTable;
import org.fuchsiaford.host.HostProcess;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreSnapshot;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Fences the former holder of a slot after a claim has been swapped into the store: notifies a
 * majority of the slot's grantors and waits until the holder's lease has expired, unless the former
 * holder is proved dead before that.
 *
 * <p>Thread-safe.
 */
final class SlotFencing {
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

    private final BundleLoader mLoader;
    private final GrantorNotifier mNotifier;
    private final HostProbe mProbe;
    private final Store mStore;

    SlotFencing(BundleLoader loader, GrantorNotifier notifier, HostProbe probe, Store store) {
        mLoader = loader;
        mNotifier = notifier;
        mProbe = probe;
        mStore = store;
    }

    /**
     * Emits true when the former holder is fenced or proved dead; completes empty if fencing fails.
     */
    Mono<Boolean> fence(SlotRecord claim, HostProcess former) {
        Mono<Boolean> provedDead =
                mProbe.probe(former)
                        .filter(result -> result == HostProbe.Result.DEAD)
                        .map(result -> true)
                        .repeatWhenEmpty(tries -> tries.delayElements(PROBE_INTERVAL));
        // If fencing fails, the claim must end; the next claim names the same former holder.
        return Mono.firstWithValue(provedDead, fenceByGrantors(claim).onErrorReturn(false))
                .filter(fenced -> fenced);
    }

    /** Fences the former holder with the grantors of every bundle that it may act on. */
    private Mono<Boolean> fenceByGrantors(SlotRecord claim) {
        return mStore.read(List.of(StoreKeys.HEAD))
                .flatMap(
                        snapshot ->
                                Mono.fromCallable(() -> head(snapshot))
                                        .flatMap(head -> fenceUnderHead(claim, head)));
    }

    static BundleHead head(StoreSnapshot snapshot) throws StoreException {
        return RecordStore.find(snapshot, StoreKeys.HEAD, BundleHead.class).orElseThrow();
    }

    private Mono<Boolean> fenceUnderHead(SlotRecord claim, BundleHead head) {
        PeerMessage notice = new PeerMessage.AnnounceSlotClaim(claim.slot(), claim.incarnation());
        return grantorSets(claim.slot(), head)
                .zipWith(mStore.readPrefix(StoreKeys.SLOT_PREFIX))
                .flatMap(
                        reads ->
                                Mono.fromCallable(() -> SlotTable.of(reads.getT2()))
                                        .flatMap(
                                                table ->
                                                        mNotifier.notifyAndWait(
                                                                reads.getT1(), table, notice)))
                .then(mStore.read(List.of(StoreKeys.HEAD)))
                .flatMap(snapshot -> Mono.fromCallable(() -> head(snapshot)))
                .flatMap(
                        newest ->
                                newest.generation().equals(head.generation())
                                        ? Mono.just(true)
                                        : fenceUnderHead(claim, newest));
    }

    private Mono<List<GrantorSet>> grantorSets(SlotId slot, BundleHead head) {
        return Flux.fromStream(
                        Stream.of(head.manifest(), head.previousManifest())
                                .filter(manifest -> manifest != null))
                .take(head.accepted() ? 1 : 2)
                .concatMap(manifest -> mLoader.loadByManifest(manifest, List.of()))
                .map(Bundle::entrySlots)
                .map(slots -> new GrantorTable(slots).grantorsOf(slot))
                .collectList();
    }
}
