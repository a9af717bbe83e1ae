package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.entry.gateway.fleet.CoordinatorCalls;
import org.fuchsiaford.entry.gateway.fleet.EngineDispatcher;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.peer.message.PeerMessage.EnginesResponse;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerBackoff;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.selection.EngineAnswer;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.EnginePlan;
import org.fuchsiaford.selection.EnginePool;
import org.fuchsiaford.selection.EngineRequest;
import org.fuchsiaford.selection.EngineReservation;
import org.fuchsiaford.selection.HeldEngines;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.RequestAttributes;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Obtains engines for the model requests of this host: from the coordinator, or from the scheduler
 * of this host if it is the coordinator or reaches none.
 *
 * <p>Invariant: a request waits for at most one coordinator at a time, and for one that does not
 * respond no longer than {@link #CALL_TIMEOUT}. Thread-safe.
 */
public final class EngineAdmission {
    /** Longer than a coordinator waits before it responds that the request is still queued. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    private final EnginePool mPool;
    private final ServerBackoff mBackoff;
    private final CoordinatorCalls mCalls;
    private final EngineDispatcher mDispatcher;
    private final LoadTracker mLoads;
    private final HeldEngines mHeld;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /** Creates an admission. */
    public EngineAdmission(
            EnginePool pool,
            ServerBackoff backoff,
            CoordinatorCalls calls,
            EngineDispatcher dispatcher,
            LoadTracker loads,
            HeldEngines held,
            DecisionLog log,
            Ticker ticker) {
        mPool = pool;
        mBackoff = backoff;
        mCalls = calls;
        mDispatcher = dispatcher;
        mLoads = loads;
        mHeld = held;
        mLog = log;
        mTicker = ticker;
    }

    /**
     * Assigns engines to an attempt of a request, which is queued until there is free capacity.
     * Fails with {@link RefusalException}. The caller must release the assignment.
     */
    Mono<EngineAssignment> acquire(RequestContext context) {
        return Mono.defer(
                () -> {
                    AtomicBoolean cancelled = new AtomicBoolean();
                    AtomicReference<EngineAssignment> granted = new AtomicReference<>();
                    return Mono.fromCallable(() -> toRequest(context))
                            .flatMap(request -> acquire(context, request))
                            .doOnNext(granted::set)
                            .doOnNext(assignment -> releaseIf(cancelled.get(), granted))
                            .doOnCancel(
                                    () -> {
                                        cancelled.set(true);
                                        releaseIf(true, granted);
                                    });
                });
    }

    /** Refuses a request that no engine would accept, with the time until one does again. */
    private void requireAcceptingEngine(RequestContext context) throws RefusalException {
        long nowNanos = mTicker.nowNanos();
        List<LiveServer> engines =
                usable(context, nowNanos).stream()
                        .filter(engine -> engine.hasStage(EngineStage.DECODE))
                        .toList();
        long retryAfterMillis = mBackoff.millisUntilFirstEnds(engines, nowNanos);
        if (retryAfterMillis > 0) {
            throw context.placementRefusal(retryAfterMillis, "all engines want no requests now");
        }
    }

    private List<LiveServer> usable(RequestContext context, long nowNanos) {
        return mPool.regions()
                .admitted(mPool.usable(context.service(), nowNanos), context.allowedRegions());
    }

    /** Releases engines that were granted while the caller left. */
    private static void releaseIf(boolean cancelled, AtomicReference<EngineAssignment> granted) {
        if (cancelled && granted.get() != null) {
            granted.get().hold().release();
        }
    }

    private Mono<EngineAssignment> acquire(RequestContext context, EngineRequest request) {
        return mCalls.remoteCoordinator()
                .map(coordinator -> acquireFrom(coordinator, context, request))
                .orElseGet(() -> acquireHere(context, request));
    }

    private EngineRequest toRequest(RequestContext context) throws RefusalException {
        requireAcceptingEngine(context);
        long eventTimeoutNanos =
                TimeUnit.MILLISECONDS.toNanos(context.route().eventTimeoutMillis());
        return new EngineRequest(
                mCalls.self().id(),
                mCalls.self().failureDomain(),
                attemptId(context),
                context.service(),
                context.tokens(),
                context.promptParts(),
                context.priority(),
                excludedEngines(context),
                context.version(),
                context.route().targetLatencyMillis(),
                context.arrivedNanos(),
                context.waitingSinceNanos() + eventTimeoutNanos,
                context.deadlineNanos(),
                attributes(context));
    }

    private RequestAttributes attributes(RequestContext context) {
        return new RequestAttributes(
                context.route().name(),
                context.workspaceId().orElse(null),
                context.route().targetGapMillis(),
                mPool.regions().isBinding() ? context.allowedRegions().toList() : List.of());
    }

    private Set<BackendServerId> excludedEngines(RequestContext context) {
        long nowNanos = mTicker.nowNanos();
        return Stream.concat(
                        context.attempts().triedServers().stream(),
                        mPool.usable(context.service(), nowNanos).stream()
                                .filter(engine -> mBackoff.isActive(engine, nowNanos))
                                .map(LiveServer::id))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Each attempt is placed under an id of its own, since the one before may not be released. */
    private static RequestId attemptId(RequestContext context) {
        RequestId id = context.caller().id();
        return context.sendCount() == 0 ? id : new RequestId(id + "~" + context.sendCount());
    }

    private Mono<EngineAssignment> acquireHere(RequestContext context, EngineRequest request) {
        return mDispatcher
                .submit(request)
                .flatMap(answer -> toAssignment(context, request, answer));
    }

    private Mono<EngineAssignment> toAssignment(
            RequestContext context, EngineRequest request, EngineAnswer answer) {
        if (answer instanceof EngineAnswer.Refused refused) {
            return Mono.error(context.placementRefusal(refused.retryMillis(), refused.reason()));
        }
        EngineAnswer.Granted granted = (EngineAnswer.Granted) answer;
        return Mono.just(
                new EngineAssignment(
                        granted.plan(),
                        new LocalEngineHold(mDispatcher, request.request()),
                        granted.grantedNanos()));
    }

    private Mono<EngineAssignment> acquireFrom(
            HostRecord coordinator, RequestContext context, EngineRequest request) {
        return call(coordinator, request, false)
                .expand(
                        response ->
                                response.state() == EnginesResponse.State.WAITING
                                        ? call(coordinator, request, true)
                                        : Mono.empty())
                .last()
                .doOnCancel(() -> cancel(coordinator, request))
                .onErrorResume(e -> Mono.empty())
                .flatMap(response -> toAssignment(coordinator, context, request, response))
                .switchIfEmpty(Mono.defer(() -> acquireElsewhere(coordinator, context, request)));
    }

    private Mono<EnginesResponse> call(
            HostRecord coordinator, EngineRequest request, boolean poll) {
        long nowNanos = mTicker.nowNanos();
        PeerMessage.AcquireEngines message =
                new PeerMessage.AcquireEngines(
                        request.host(),
                        request.domain(),
                        request.request(),
                        request.service(),
                        request.tokens(),
                        request.promptParts(),
                        request.priority(),
                        List.copyOf(request.failed()),
                        request.version().orElse(null),
                        request.targetMillis(),
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - request.arrivedNanos()),
                        TimeUnit.NANOSECONDS.toMillis(request.eventDeadlineNanos() - nowNanos),
                        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos),
                        poll,
                        request.attributes());
        return mCalls.call(coordinator, message, EnginesResponse.class, CALL_TIMEOUT);
    }

    private void cancel(HostRecord coordinator, EngineRequest request) {
        mCalls.report(
                coordinator, EngineEvent.of(EngineEvent.Kind.CANCELLED, request.request(), 0));
    }

    /** Returns empty if this host cannot use the answer. */
    private Mono<EngineAssignment> toAssignment(
            HostRecord coordinator,
            RequestContext context,
            EngineRequest request,
            EnginesResponse response) {
        return switch (response.state()) {
            case GRANTED -> Mono.justOrEmpty(hold(coordinator, context, request, response));
            case REFUSED ->
                    Mono.error(context.placementRefusal(response.millis(), response.reason()));
            case WAITING, UNKNOWN -> Mono.empty();
        };
    }

    private Optional<EngineAssignment> hold(
            HostRecord coordinator,
            RequestContext context,
            EngineRequest request,
            EnginesResponse response) {
        long nowNanos = mTicker.nowNanos();
        // A coordinator of the build before knows no regions.
        List<LiveServer> engines = mBackoff.acceptingNow(usable(context, nowNanos), nowNanos);
        Optional<LiveServer> decode = find(engines, response.decode());
        if (decode.isEmpty() || !isOfVersion(decode.get(), request)) {
            cancel(coordinator, request);
            return Optional.empty();
        }
        EnginePlan plan = new EnginePlan(decode.get(), find(engines, response.prefill()));
        EngineReservation reservation =
                new EngineReservation(mLoads.grantedBy(coordinator.id()), plan, request.tokens());
        EngineHold hold =
                new RemoteEngineHold(mCalls, coordinator, mHeld, request.request(), reservation);
        if (response.prefill() != null && plan.prefill().isEmpty()) {
            hold.recordPrefillFailure();
        }
        return Optional.of(new EngineAssignment(plan, hold, nowNanos));
    }

    /** The coordinator may know another run of the engine than this host. */
    private static boolean isOfVersion(LiveServer engine, EngineRequest request) {
        return request.version().isEmpty() || request.version().get().equals(engine.version());
    }

    private static Optional<LiveServer> find(List<LiveServer> engines, BackendServerId id) {
        return engines.stream().filter(engine -> engine.id().equals(id)).findAny();
    }

    /** Asks the next coordinator, or decides here if there is none that responds. */
    private Mono<EngineAssignment> acquireElsewhere(
            HostRecord coordinator, RequestContext context, EngineRequest request) {
        Optional<HostRecord> next =
                mCalls.remoteCoordinator().filter(c -> !c.id().equals(coordinator.id()));
        mLog.write(
                new Decision.SchedulerChanged(
                        context.caller().id().value(),
                        coordinator.id().value(),
                        next.map(c -> c.id().value()).orElse(null)));
        return next.isPresent()
                ? acquireFrom(next.get(), context, request)
                : acquireHere(context, request);
    }
}
