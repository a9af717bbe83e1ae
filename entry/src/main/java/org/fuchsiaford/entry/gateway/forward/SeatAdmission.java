package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.entry.gateway.fleet.Coordination;
import org.fuchsiaford.entry.gateway.fleet.CoordinatorCalls;
import org.fuchsiaford.entry.gateway.fleet.SeatDispatcher;
import org.fuchsiaford.entry.metrics.ServiceMetrics;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.fairness.Kind;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.peer.message.PeerMessage.EnginesResponse;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.HeldEngines;
import org.fuchsiaford.selection.LoadSink;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.SeatAnswer;
import org.fuchsiaford.selection.SeatDemand;
import org.fuchsiaford.selection.SeatRequest;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Obtains seats of plain servers that are near full: from the coordinator, or from the book of this
 * host if it is the coordinator. Without a coordinator that grants seats, and for services that are
 * not near full, there is no seat, and the host chooses a server by itself.
 *
 * <p>Invariant: a request asks at most one coordinator at a time, and waits for one that does not
 * respond no longer than {@link #CALL_TIMEOUT}. Thread-safe.
 */
public final class SeatAdmission {
    /** Longer than a coordinator waits before it responds that the request still waits. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    private final boolean mIsEnabled;
    private final CoordinatorCalls mCalls;
    private final SeatDispatcher mDispatcher;
    private final Predicate<HostId> mGrantsSeats;
    private final LoadTracker mLoads;
    private final SeatDemand mDemand;
    private final HeldEngines mHeld;
    private final ServiceMetrics mMetrics;
    private final Ticker mTicker;
    private final AtomicLong mCount = new AtomicLong();

    /** Creates the admission of a host that acts together with others. */
    public static SeatAdmission create(
            boolean isEnabled,
            Coordination coordination,
            LoadTracker loads,
            ServiceMetrics metrics,
            Ticker ticker) {
        return new SeatAdmission(
                isEnabled,
                coordination.calls(),
                coordination.seats(),
                coordination.heartbeats()::grantsSeats,
                loads,
                coordination.held(),
                metrics,
                ticker);
    }

    /**
     * Creates an admission.
     *
     * @param isEnabled whether the settings ask for shared seats
     * @param grantsSeats whether a coordinator is known to grant seats
     */
    SeatAdmission(
            boolean isEnabled,
            CoordinatorCalls calls,
            SeatDispatcher dispatcher,
            Predicate<HostId> grantsSeats,
            LoadTracker loads,
            HeldEngines held,
            ServiceMetrics metrics,
            Ticker ticker) {
        mIsEnabled = isEnabled;
        mCalls = calls;
        mDispatcher = dispatcher;
        mGrantsSeats = grantsSeats;
        mLoads = loads;
        mDemand = new SeatDemand(loads);
        mHeld = held;
        mMetrics = metrics;
        mTicker = ticker;
    }

    /** Records that a server of the service has rejected a request. */
    void recordRejection(RequestContext context) {
        mDemand.recordFull(context.service(), mTicker.nowNanos());
    }

    /** Returns whether to ask for a seat, since the service is near full. */
    boolean isAsked(RequestContext context, List<LiveServer> servers, List<LiveServer> eligible) {
        return mIsEnabled
                && !eligible.isEmpty()
                && mDemand.isNearFull(context.service(), servers, mTicker.nowNanos());
    }

    /**
     * Obtains a seat of one of the eligible servers; emits empty if the host chooses by itself.
     * Fails with {@link RefusalException} if there will be none in time.
     *
     * @param servers the servers of the service
     * @param eligible those that may serve the request
     */
    Mono<Optional<Seat>> acquire(
            RequestContext context, List<LiveServer> servers, List<LiveServer> eligible) {
        SeatRequest request = toRequest(context, servers, eligible);
        Mono<Optional<Seat>> seat =
                mCalls.remoteCoordinator()
                        .map(coordinator -> acquireFrom(coordinator, context, request, eligible))
                        .orElseGet(
                                () ->
                                        mCalls.isCoordinator()
                                                ? acquireHere(context, request)
                                                : Mono.just(Optional.empty()));
        return seat.doOnNext(granted -> count(context, granted.isPresent() ? "granted" : "none"))
                .doOnError(RefusalException.class, e -> count(context, "refused"));
    }

    private void count(RequestContext context, String outcome) {
        mMetrics.countSeat(context.service(), outcome);
    }

    private SeatRequest toRequest(
            RequestContext context, List<LiveServer> servers, List<LiveServer> eligible) {
        Set<BackendServerId> excluded =
                servers.stream()
                        .filter(server -> !eligible.contains(server))
                        .map(LiveServer::id)
                        .collect(Collectors.toUnmodifiableSet());
        long targetNanos = TimeUnit.MILLISECONDS.toNanos(context.route().targetLatencyMillis());
        return new SeatRequest(
                mCalls.self().id(),
                mCalls.self().failureDomain(),
                new RequestId(context.caller().id().value() + "#" + mCount.incrementAndGet()),
                context.service(),
                new Kind(context.route().name(), context.priority()),
                context.workspaceId().orElse(null),
                excluded,
                context.arrivedNanos() + targetNanos,
                context.deadlineNanos());
    }

    private Mono<Optional<Seat>> acquireHere(RequestContext context, SeatRequest request) {
        return Mono.defer(() -> mDispatcher.submit(request))
                .expand(
                        answer ->
                                answer instanceof SeatAnswer.Waiting
                                        ? mDispatcher.poll(request.host(), request.request())
                                        : Mono.empty())
                .last()
                .doOnCancel(() -> reportHere(request, EngineEvent.Kind.CANCELLED, 0))
                .flatMap(answer -> toSeat(context, request, answer));
    }

    private Mono<Optional<Seat>> toSeat(
            RequestContext context, SeatRequest request, SeatAnswer answer) {
        if (answer instanceof SeatAnswer.Granted granted) {
            return Mono.just(
                    Optional.of(
                            new GrantedSeat(
                                    granted.server(),
                                    (kind, nanos) -> reportHere(request, kind, nanos))));
        }
        if (answer instanceof SeatAnswer.Refused refused) {
            return Mono.error(refusal(context, refused.retryMillis(), refused.reason()));
        }
        return Mono.just(Optional.empty());
    }

    private void reportHere(SeatRequest request, EngineEvent.Kind kind, long durationNanos) {
        mDispatcher.apply(List.of(EngineEvent.of(kind, request.request(), durationNanos)));
    }

    private RefusalException refusal(RequestContext context, long retryMillis, String reason) {
        mDemand.recordFull(context.service(), mTicker.nowNanos());
        return context.placementRefusal(retryMillis, reason);
    }

    private Mono<Optional<Seat>> acquireFrom(
            HostRecord coordinator,
            RequestContext context,
            SeatRequest request,
            List<LiveServer> eligible) {
        if (!mGrantsSeats.test(coordinator.id())) {
            return Mono.just(Optional.empty());
        }
        return call(coordinator, request, false)
                .expand(
                        response ->
                                response.state() == EnginesResponse.State.WAITING
                                        ? call(coordinator, request, true)
                                        : Mono.empty())
                .last()
                .doOnCancel(() -> cancel(coordinator, request))
                .map(Optional::of)
                .onErrorResume(e -> Mono.just(Optional.empty()))
                .flatMap(
                        response ->
                                response.isEmpty()
                                        ? Mono.just(Optional.<Seat>empty())
                                        : toSeat(
                                                coordinator,
                                                context,
                                                request,
                                                eligible,
                                                response.get()));
    }

    private void cancel(HostRecord coordinator, SeatRequest request) {
        mCalls.report(
                coordinator, EngineEvent.of(EngineEvent.Kind.CANCELLED, request.request(), 0));
    }

    private Mono<EnginesResponse> call(HostRecord coordinator, SeatRequest request, boolean poll) {
        long nowNanos = mTicker.nowNanos();
        PeerMessage.AcquireSeat message =
                new PeerMessage.AcquireSeat(
                        request.host(),
                        request.domain(),
                        request.request(),
                        request.service(),
                        request.kind(),
                        request.workspace(),
                        List.copyOf(request.excluded()),
                        TimeUnit.NANOSECONDS.toMillis(request.targetNanos() - nowNanos),
                        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos),
                        poll);
        return mCalls.call(coordinator, message, EnginesResponse.class, CALL_TIMEOUT);
    }

    private Mono<Optional<Seat>> toSeat(
            HostRecord coordinator,
            RequestContext context,
            SeatRequest request,
            List<LiveServer> eligible,
            EnginesResponse response) {
        return switch (response.state()) {
            case GRANTED -> Mono.just(hold(coordinator, request, eligible, response.decode()));
            case REFUSED -> Mono.error(refusal(context, response.millis(), response.reason()));
            case WAITING, UNKNOWN -> Mono.just(Optional.empty());
        };
    }

    /** Returns empty if this host knows no such server. */
    private Optional<Seat> hold(
            HostRecord coordinator,
            SeatRequest request,
            List<LiveServer> eligible,
            BackendServerId id) {
        Optional<LiveServer> server =
                eligible.stream().filter(candidate -> candidate.id().equals(id)).findAny();
        if (server.isEmpty()) {
            cancel(coordinator, request);
            return Optional.empty();
        }
        ServerLoad load = new ServerLoad(id, 1, 0, 0);
        LoadSink loads = mLoads.grantedBy(coordinator.id());
        loads.add(load);
        mHeld.add(coordinator.id(), request.request());
        return Optional.of(
                new GrantedSeat(
                        server.get(),
                        (kind, nanos) -> {
                            mHeld.remove(coordinator.id(), request.request());
                            loads.remove(load);
                            mCalls.report(
                                    coordinator, EngineEvent.of(kind, request.request(), nanos));
                        }));
    }
}
