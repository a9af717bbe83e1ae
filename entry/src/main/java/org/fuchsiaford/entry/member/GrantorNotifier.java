package org.fuchsiaford.entry.member;

import java.time.Duration;
import java.util.List;
import org.fuchsiaford.host.FencingWait;
import org.fuchsiaford.host.GrantorSet;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends a notice of a newer generation or incarnation to the members of grantor sets until a
 * majority of each set has acknowledged it, and then waits until no older lease can be valid.
 *
 * <p>A slot on which no process can act counts as notified, because its next holder reads the store
 * after its claim. Whether a process can act is determined from slot records that were read after
 * the newer generation or incarnation was swapped into the store. Thread-safe.
 */
final class GrantorNotifier {
    private static final Duration NOTICE_CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final HostProbe mProbe;
    private final PeerClient mPeers;
    private final Ticker mTicker;

    GrantorNotifier(
            Membership membership,
            SlotDirectory directory,
            HostProbe probe,
            PeerClient peers,
            Ticker ticker) {
        mMembership = membership;
        mDirectory = directory;
        mProbe = probe;
        mPeers = peers;
        mTicker = ticker;
    }

    /**
     * Sends the notice and waits; completes when all older leases have expired.
     *
     * @param grantorSets the grantor sets to notify
     * @param table the slot records, read after the newer generation or incarnation was swapped in
     * @param notice the notice to send
     */
    Mono<Void> notifyAndWait(List<GrantorSet> grantorSets, SlotTable table, PeerMessage notice) {
        List<SlotId> grantors =
                grantorSets.stream().flatMap(set -> set.members().stream()).distinct().toList();
        return Mono.defer(
                () -> {
                    List<SlotId> vacant = grantors.stream().filter(table::isVacant).toList();
                    FencingWait wait = new FencingWait(grantorSets, vacant, mTicker.nowNanos());
                    return notifyAll(wait, grantors, table, notice)
                            .then(Mono.delay(RETRY_PAUSE))
                            .repeat(() -> !wait.isAcknowledgedByMajorities())
                            .then(Mono.defer(() -> awaitExpiry(wait)));
                });
    }

    private Mono<Void> awaitExpiry(FencingWait wait) {
        return Mono.defer(
                        () ->
                                Mono.delay(
                                        Duration.ofNanos(
                                                wait.remainingNanos(mTicker.nowNanos()) + 1)))
                .repeat(() -> !wait.isComplete(mTicker.nowNanos()))
                .then();
    }

    private Mono<Void> notifyAll(
            FencingWait wait, List<SlotId> grantors, SlotTable table, PeerMessage notice) {
        return Flux.fromIterable(grantors)
                .filter(grantor -> !wait.hasAcknowledged(grantor))
                .flatMap(
                        grantor ->
                                notifyGrantor(grantor, notice)
                                        .switchIfEmpty(proveDead(grantor, table)))
                .doOnNext(grantor -> wait.acknowledge(grantor, mTicker.nowNanos()))
                .then();
    }

    private Mono<SlotId> notifyGrantor(SlotId grantor, PeerMessage notice) {
        boolean own =
                mMembership.heldSlot().filter(held -> held.slot().equals(grantor)).isPresent();
        if (own) {
            return Mono.justOrEmpty(MembershipHandler.acknowledge(mMembership, notice).member());
        }
        return Mono.justOrEmpty(mDirectory.address(grantor))
                .flatMap(address -> call(address, notice))
                .mapNotNull(PeerMessage.Acknowledgement::member)
                .filter(grantor::equals)
                .onErrorResume(e -> Mono.empty());
    }

    private Mono<PeerMessage.Acknowledgement> call(PeerAddress address, PeerMessage notice) {
        return mPeers.call(address, notice, PeerMessage.Acknowledgement.class, NOTICE_CALL_TIMEOUT);
    }

    private Mono<SlotId> proveDead(SlotId grantor, SlotTable table) {
        return Mono.justOrEmpty(table.record(grantor).flatMap(SlotRecord::activeProcess))
                .flatMap(mProbe::probe)
                .filter(result -> result == HostProbe.Result.DEAD)
                .map(result -> grantor);
    }
}
