package org.fuchsiaford.entry.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.entry.member.HeldSlot;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.entry.member.SlotDirectory;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.placement.PlacementDecision;
import org.fuchsiaford.placement.PlacementEvent;
import org.fuchsiaford.placement.PlacementRequest;
import org.fuchsiaford.placement.PoolScheduler;
import org.fuchsiaford.request.RequestId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Finds the keeper of a pool and speaks to it. The keeper is the serving slot that comes first for
 * the pool; if it does not answer, the next one takes its place.
 *
 * <p>Thread-safe.
 */
public final class PlacementClient {
    private static final int MAX_KEEPERS = 2;
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(300);
    private static final Duration EVENT_TIMEOUT = Duration.ofMillis(1_000);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final PoolSchedulerRegistry mRegistry;
    private final PeerClient mPeers;

    /**
     * A decision with the keeper that made it, to which events go.
     *
     * @param pool the pool
     * @param scheduler the keeper's address, or null for this host
     * @param decision the decision
     */
    public record Placed(PoolId pool, PeerAddress scheduler, PlacementDecision decision) {}

    /** Creates a client. */
    public PlacementClient(
            Membership membership,
            SlotDirectory directory,
            PoolSchedulerRegistry registry,
            PeerClient peers) {
        mMembership = membership;
        mDirectory = directory;
        mRegistry = registry;
        mPeers = peers;
    }

    /** Asks the keeper of a pool for engines; empty if no keeper answers. */
    public Mono<Placed> place(PoolId pool, PlacementRequest request) {
        Duration timeout = PoolScheduler.MAX_DECISION_WAIT.plus(ANSWER_MARGIN);
        return Flux.fromIterable(keepers(pool))
                .concatMap(keeper -> place(keeper, pool, request, timeout), 1)
                .next();
    }

    private List<Optional<PeerAddress>> keepers(PoolId pool) {
        Optional<SlotId> own = mMembership.heldSlot().map(HeldSlot::slot);
        List<Optional<PeerAddress>> keepers = new ArrayList<>();
        mDirectory.rankServing("pool/" + pool).stream()
                .limit(MAX_KEEPERS)
                .map(
                        slot ->
                                own.filter(slot::equals).isPresent()
                                        ? Optional.<PeerAddress>empty()
                                        : mDirectory.address(slot))
                .forEach(keepers::add);
        if (keepers.isEmpty()) {
            keepers.add(Optional.empty());
        }
        return keepers;
    }

    private Mono<Placed> place(
            Optional<PeerAddress> keeper, PoolId pool, PlacementRequest request, Duration timeout) {
        // Whoever takes the first answer cancels right after it; only an undecided request is
        // withdrawn then.
        AtomicBoolean decided = new AtomicBoolean();
        return call(
                        keeper,
                        new PeerMessage.RequestPlacement(pool, request),
                        PeerMessage.PlacementResponse.class,
                        timeout)
                .doOnNext(answer -> decided.set(true))
                .map(answer -> new Placed(pool, keeper.orElse(null), answer.decision()))
                .doOnCancel(() -> withdrawUnless(decided, keeper, pool, request.request()))
                .onErrorResume(
                        e -> {
                            withdraw(keeper, pool, request.request());
                            return Mono.empty();
                        });
    }

    private void withdrawUnless(
            AtomicBoolean decided, Optional<PeerAddress> keeper, PoolId pool, RequestId request) {
        if (!decided.get()) {
            withdraw(keeper, pool, request);
        }
    }

    private void withdraw(Optional<PeerAddress> keeper, PoolId pool, RequestId request) {
        tell(keeper, new PeerMessage.CancelPlacement(pool, request));
    }

    /** Tells the keeper how a placed request goes on; a lost message is made up for by time. */
    public void report(Placed placed, PlacementEvent event) {
        tell(
                Optional.ofNullable(placed.scheduler()),
                new PeerMessage.ReportPlacementEvent(placed.pool(), event));
    }

    private void tell(Optional<PeerAddress> keeper, PeerMessage message) {
        call(keeper, message, PeerMessage.Success.class, EVENT_TIMEOUT)
                .onErrorResume(e -> Mono.empty())
                .subscribe();
    }

    private <T extends PeerMessage> Mono<T> call(
            Optional<PeerAddress> keeper, PeerMessage message, Class<T> type, Duration timeout) {
        if (keeper.isPresent()) {
            return mPeers.call(keeper.get(), message, type, timeout);
        }
        return Mono.defer(() -> mRegistry.handle(message).orElse(Mono.empty()))
                .cast(type)
                .timeout(timeout);
    }
}
