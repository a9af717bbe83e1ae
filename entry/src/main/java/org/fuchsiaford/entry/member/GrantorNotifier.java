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
 * Tells the members of panels of something newer until a majority of each has acknowledged, then
 * waits until no older lease can be valid.
 *
 * <p>A slot on which no process can act counts as informed, since whoever holds it next reads the
 * store after its claim. This is judged by slot records read after the newer thing was swapped in.
 * Thread-safe.
 */
final class GrantorNotifier {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final HostProbe mDeathProof;
    private final PeerClient mPeers;
    private final Ticker mTicker;

    GrantorNotifier(
            Membership membership,
            SlotDirectory directory,
            HostProbe deathProof,
            PeerClient peers,
            Ticker ticker) {
        mMembership = membership;
        mDirectory = directory;
        mDeathProof = deathProof;
        mPeers = peers;
        mTicker = ticker;
    }

    /**
     * Informs and waits; completes once the older leases have run out.
     *
     * @param panels the panels to inform
     * @param table the slot records, read after the newer thing was swapped in
     * @param notice what to tell
     */
    Mono<Void> notifyAndWait(List<GrantorSet> panels, SlotTable table, PeerMessage notice) {
        List<SlotId> members =
                panels.stream().flatMap(p -> p.members().stream()).distinct().toList();
        return Mono.defer(
                () -> {
                    List<SlotId> vacant = members.stream().filter(table::isVacant).toList();
                    FencingWait wait = new FencingWait(panels, vacant, mTicker.nowNanos());
                    return informAll(wait, members, table, notice)
                            .then(Mono.delay(RETRY_PAUSE))
                            .repeat(() -> !wait.isAcknowledged())
                            .then(Mono.defer(() -> waitOut(wait)));
                });
    }

    private Mono<Void> waitOut(FencingWait wait) {
        return Mono.defer(
                        () ->
                                Mono.delay(
                                        Duration.ofNanos(
                                                wait.remainingNanos(mTicker.nowNanos()) + 1)))
                .repeat(() -> !wait.isComplete(mTicker.nowNanos()))
                .then();
    }

    private Mono<Void> informAll(
            FencingWait wait, List<SlotId> members, SlotTable table, PeerMessage notice) {
        return Flux.fromIterable(members)
                .filter(member -> !wait.hasAcknowledged(member))
                .flatMap(member -> inform(member, notice).switchIfEmpty(proveDead(member, table)))
                .doOnNext(member -> wait.acknowledge(member, mTicker.nowNanos()))
                .then();
    }

    private Mono<SlotId> inform(SlotId member, PeerMessage notice) {
        boolean own = mMembership.heldSlot().filter(held -> held.slot().equals(member)).isPresent();
        if (own) {
            return Mono.justOrEmpty(MembershipHandler.acknowledge(mMembership, notice).member());
        }
        return Mono.justOrEmpty(mDirectory.address(member))
                .flatMap(address -> call(address, notice))
                .mapNotNull(PeerMessage.Acknowledgement::member)
                .filter(member::equals)
                .onErrorResume(e -> Mono.empty());
    }

    private Mono<PeerMessage.Acknowledgement> call(PeerAddress address, PeerMessage notice) {
        return mPeers.call(address, notice, PeerMessage.Acknowledgement.class, CALL_TIMEOUT);
    }

    private Mono<SlotId> proveDead(SlotId member, SlotTable table) {
        return Mono.justOrEmpty(table.record(member).flatMap(SlotRecord::activeProcess))
                .flatMap(mDeathProof::probe)
                .filter(finding -> finding == HostProbe.Result.DEAD)
                .map(finding -> member);
    }
}
