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
 * Fences the former holder of a slot after a claim has been swapped in: a majority of the slot's
 * panel is informed and one term waited out, unless the former holder is proved dead before.
 *
 * <p>Thread-safe.
 */
final class SlotFencing {
    private static final Duration PROBE_PAUSE = Duration.ofMillis(500);

    private final BundleLoader mLoader;
    private final GrantorNotifier mInformer;
    private final HostProbe mDeathProof;
    private final Store mStore;

    SlotFencing(BundleLoader loader, GrantorNotifier informer, HostProbe deathProof, Store store) {
        mLoader = loader;
        mInformer = informer;
        mDeathProof = deathProof;
        mStore = store;
    }

    /** Ends when the former holder is fenced, or is proved dead before that. */
    Mono<Boolean> fence(SlotRecord claim, HostProcess former) {
        Mono<Boolean> proved =
                mDeathProof
                        .probe(former)
                        .filter(finding -> finding == HostProbe.Result.DEAD)
                        .map(finding -> true)
                        .repeatWhenEmpty(tries -> tries.delayElements(PROBE_PAUSE));
        // A failed fencing must end the claim; the next one takes the former holder over.
        return Mono.firstWithValue(proved, fenceByPanel(claim).onErrorReturn(false))
                .filter(fenced -> fenced);
    }

    /** Fences the former holder under the panels of every bundle that it may act on. */
    private Mono<Boolean> fenceByPanel(SlotRecord claim) {
        return mStore.read(List.of(StoreKeys.HEAD))
                .flatMap(
                        snapshot ->
                                Mono.fromCallable(() -> head(snapshot))
                                        .flatMap(head -> fenceUnder(claim, head)));
    }

    static BundleHead head(StoreSnapshot snapshot) throws StoreException {
        return RecordStore.find(snapshot, StoreKeys.HEAD, BundleHead.class).orElseThrow();
    }

    private Mono<Boolean> fenceUnder(SlotRecord claim, BundleHead head) {
        PeerMessage notice = new PeerMessage.AnnounceSlotClaim(claim.slot(), claim.incarnation());
        return panels(claim.slot(), head)
                .zipWith(mStore.readPrefix(StoreKeys.SLOT_PREFIX))
                .flatMap(
                        reads ->
                                Mono.fromCallable(() -> SlotTable.of(reads.getT2()))
                                        .flatMap(
                                                table ->
                                                        mInformer.notifyAndWait(
                                                                reads.getT1(), table, notice)))
                .then(mStore.read(List.of(StoreKeys.HEAD)))
                .flatMap(snapshot -> Mono.fromCallable(() -> head(snapshot)))
                .flatMap(
                        now ->
                                now.generation().equals(head.generation())
                                        ? Mono.just(true)
                                        : fenceUnder(claim, now));
    }

    private Mono<List<GrantorSet>> panels(SlotId slot, BundleHead head) {
        return Flux.fromStream(
                        Stream.of(head.manifest(), head.previousManifest())
                                .filter(manifest -> manifest != null))
                .take(head.accepted() ? 1 : 2)
                .concatMap(manifest -> mLoader.loadManifest(manifest, List.of()))
                .map(Bundle::entrySlots)
                .map(slots -> new GrantorTable(slots).grantorsOf(slot))
                .collectList();
    }
}
