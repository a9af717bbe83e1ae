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
 * Requests placements from the host that schedules a pool. That host is the holder of the serving
 * slot ranked first for the pool; if it does not respond, the next one in rank is used.
 *
 * <p>Thread-safe.
 */
public final class PlacementClient {
    private static final int MAX_SCHEDULERS_TRIED = 2;
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(300);
    private static final Duration EVENT_CALL_TIMEOUT = Duration.ofMillis(1_000);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final PoolSchedulerRegistry mRegistry;
    private final PeerClient mPeers;

    /**
     * A decision on a placement, which may be a refusal, and the host that made it, which receives
     * the events of the request.
     *
     * @param pool the pool
     * @param scheduler the address of the host that schedules the pool, or null for this host
     * @param decision the decision
     */
    public record PlacementResult(PoolId pool, PeerAddress scheduler, PlacementDecision decision) {}

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

    /** Requests engines of a pool; empty if no host that may schedule the pool responds. */
    public Mono<PlacementResult> place(PoolId pool, PlacementRequest request) {
        Duration timeout = PoolScheduler.MAX_DECISION_WAIT.plus(RESPONSE_MARGIN);
        return Flux.fromIterable(schedulers(pool))
                .concatMap(scheduler -> place(scheduler, pool, request, timeout), 1)
                .next();
    }

    private List<Optional<PeerAddress>> schedulers(PoolId pool) {
        Optional<SlotId> own = mMembership.heldSlot().map(HeldSlot::slot);
        List<Optional<PeerAddress>> schedulers = new ArrayList<>();
        mDirectory.rankServing("pool/" + pool).stream()
                .limit(MAX_SCHEDULERS_TRIED)
                .map(
                        slot ->
                                own.filter(slot::equals).isPresent()
                                        ? Optional.<PeerAddress>empty()
                                        : mDirectory.address(slot))
                .forEach(schedulers::add);
        if (schedulers.isEmpty()) {
            schedulers.add(Optional.empty());
        }
        return schedulers;
    }

    private Mono<PlacementResult> place(
            Optional<PeerAddress> scheduler,
            PoolId pool,
            PlacementRequest request,
            Duration timeout) {
        // A subscriber that takes only the first response cancels right after it. The placement is
        // cancelled only if no decision has arrived by then.
        AtomicBoolean decided = new AtomicBoolean();
        return call(
                        scheduler,
                        new PeerMessage.RequestPlacement(pool, request),
                        PeerMessage.PlacementResponse.class,
                        timeout)
                .doOnNext(response -> decided.set(true))
                .map(
                        response ->
                                new PlacementResult(
                                        pool, scheduler.orElse(null), response.decision()))
                .doOnCancel(() -> cancelUnlessDecided(decided, scheduler, pool, request.request()))
                .onErrorResume(
                        e -> {
                            cancel(scheduler, pool, request.request());
                            return Mono.empty();
                        });
    }

    private void cancelUnlessDecided(
            AtomicBoolean decided,
            Optional<PeerAddress> scheduler,
            PoolId pool,
            RequestId request) {
        if (!decided.get()) {
            cancel(scheduler, pool, request);
        }
    }

    private void cancel(Optional<PeerAddress> scheduler, PoolId pool, RequestId request) {
        send(scheduler, new PeerMessage.CancelPlacement(pool, request));
    }

    /**
     * Reports the progress of a placed request to the host that schedules the pool. A lost report
     * is not sent again, since a scheduler releases a placement that it has received no report of
     * for some time.
     */
    public void report(PlacementResult placement, PlacementEvent event) {
        send(
                Optional.ofNullable(placement.scheduler()),
                new PeerMessage.ReportPlacementEvent(placement.pool(), event));
    }

    private void send(Optional<PeerAddress> scheduler, PeerMessage message) {
        call(scheduler, message, PeerMessage.Success.class, EVENT_CALL_TIMEOUT)
                .onErrorResume(e -> Mono.empty())
                .subscribe();
    }

    private <T extends PeerMessage> Mono<T> call(
            Optional<PeerAddress> scheduler, PeerMessage message, Class<T> type, Duration timeout) {
        if (scheduler.isPresent()) {
            return mPeers.call(scheduler.get(), message, type, timeout);
        }
        return Mono.defer(() -> mRegistry.handle(message).orElse(Mono.empty()))
                .cast(type)
                .timeout(timeout);
    }
}
