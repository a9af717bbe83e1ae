package org.fuchsiaford.entry.member;

import java.time.Duration;
import java.util.List;
import org.fuchsiaford.host.FencingWait;
import org.fuchsiaford.host.Panel;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerCalls;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Tells the members of panels of something newer until a majority of each has acknowledged, then
 * waits until no older lease can be valid.
 *
 * <p>Thread-safe.
 */
final class PanelInformer {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final PeerCalls mPeers;
    private final Ticker mTicker;

    PanelInformer(Membership membership, SlotDirectory directory, PeerCalls peers, Ticker ticker) {
        mMembership = membership;
        mDirectory = directory;
        mPeers = peers;
        mTicker = ticker;
    }

    /**
     * Informs and waits; completes once the older leases have run out.
     *
     * @param panels the panels to inform
     * @param vacant the slots without a holder
     * @param notice what to tell
     */
    Mono<Void> informAndWait(List<Panel> panels, List<SlotId> vacant, PeerMessage notice) {
        return Mono.defer(
                () -> {
                    FencingWait wait = new FencingWait(panels, vacant, mTicker.nowNanos());
                    return informAll(wait, panels, notice)
                            .then(Mono.delay(RETRY_PAUSE))
                            .repeat(() -> !wait.isInformed())
                            .then(Mono.defer(() -> waitOut(wait)));
                });
    }

    private Mono<Void> waitOut(FencingWait wait) {
        return Mono.delay(Duration.ofNanos(wait.remainingNanos(mTicker.nowNanos())))
                .repeat(() -> !wait.isOver(mTicker.nowNanos()))
                .then();
    }

    private Mono<Void> informAll(FencingWait wait, List<Panel> panels, PeerMessage notice) {
        return Flux.fromStream(
                        panels.stream().flatMap(panel -> panel.members().stream()).distinct())
                .filter(member -> !wait.hasAcknowledged(member))
                .flatMap(member -> inform(member, notice))
                .doOnNext(member -> wait.acknowledge(member, mTicker.nowNanos()))
                .then();
    }

    private Mono<SlotId> inform(SlotId member, PeerMessage notice) {
        boolean own = mMembership.held().filter(held -> held.slot().equals(member)).isPresent();
        if (own) {
            return Mono.justOrEmpty(MemberHandler.acknowledge(mMembership, notice).member());
        }
        return Mono.justOrEmpty(mDirectory.address(member))
                .flatMap(address -> call(address, notice))
                .mapNotNull(PeerMessage.Acknowledged::member)
                .filter(member::equals)
                .onErrorResume(e -> Mono.empty());
    }

    private Mono<PeerMessage.Acknowledged> call(PeerAddress address, PeerMessage notice) {
        return mPeers.call(address, notice, PeerMessage.Acknowledged.class, CALL_TIMEOUT);
    }
}
