package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.DoubleSupplier;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.ServiceDeclaration;
import org.fuchsiaford.selection.EnginePlan;
import org.fuchsiaford.selection.EnginePlanner;
import org.fuchsiaford.selection.EngineQueue;
import org.fuchsiaford.selection.EngineQueues;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Lets model requests through to engines with room, in the order of {@link EngineQueue}, and
 * refuses at once those that cannot be served in time.
 *
 * <p>Invariant: a request that is let through has its room reserved in the same step, and one that
 * waits gets exactly one of a seat, a refusal, or its caller's going away. Thread-safe.
 */
public final class EngineAdmission {
    /** Room freed by other hosts is noticed within this time beyond their reports. */
    private static final Duration POLL = Duration.ofMillis(50);

    /** When to come back if no engine is known. */
    private static final long NO_ENGINE_RETRY_MILLIS = 500;

    /** Part of an engine's memory beyond which other hosts must not rely on older reports. */
    private static final double REPORTED_SHARE = 0.4;

    /** Those that are refused together come back spread over this time. */
    private static final long RETRY_SPREAD_MILLIS = 1_000;

    /** Part of the target of the first event that may pass before a request starts. */
    private static final double ON_TIME_SHARE = 0.6;

    private final GatewayState mState;
    private final FleetView mFleet;
    private final LoadTracker mLoads;
    private final EnginePlanner mPlanner;
    private final EngineQueues mQueues;
    private final Runnable mLoadsChanged;
    private final DoubleSupplier mRandom;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final Map<RequestId, Waiter> mWaiters = new HashMap<>();
    private final Disposable.Swap mPoll = Disposables.swap();
    private final AtomicBoolean mReportedOnTime = new AtomicBoolean();
    private volatile boolean mReporting;

    private record Waiter(RequestContext context, Sinks.One<EngineAssignment> sink) {}

    private record Grant(Waiter waiter, EngineAssignment seat) {}

    /**
     * Creates a gate.
     *
     * @param loadsChanged told whenever this host's load at engines has changed; must not wait
     * @param random evenly distributed numbers from 0 to 1
     */
    public EngineAdmission(
            GatewayState state,
            FleetView fleet,
            LoadTracker loads,
            EnginePlanner planner,
            EngineQueues queues,
            Runnable loadsChanged,
            DoubleSupplier random,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mFleet = fleet;
        mLoads = loads;
        mPlanner = planner;
        mQueues = queues;
        mLoadsChanged = loadsChanged;
        mRandom = random;
        mLog = log;
        mTicker = ticker;
    }

    /** Returns a seat as soon as there is one; fails with {@link RefusalException}. */
    Mono<EngineAssignment> acquire(RequestContext context) {
        return Mono.defer(
                () -> {
                    Optional<EngineAssignment> seat =
                            queue(context).isEmpty() ? trySeat(context) : Optional.empty();
                    return seat.map(Mono::just).orElseGet(() -> join(context));
                });
    }

    /** Learns how long it took until an engine's answer began. */
    void recordFirstEvent(RequestContext context, EngineAssignment seat) {
        queue(context).observeTimeToFirstEvent(mTicker.nowNanos() - seat.grantedNanos());
    }

    /** Learns from an ended stream, and lets the next request take its room. */
    void release(RequestContext context, EngineAssignment seat, boolean whole) {
        seat.reservation().release();
        if (mReporting) {
            mLoadsChanged.run();
            mReporting = !mQueues.isEmpty();
        }
        if (whole) {
            queue(context)
                    .observeRunDuration(context.tokens(), mTicker.nowNanos() - seat.grantedNanos());
        }
        dispatchQueued();
    }

    private Mono<EngineAssignment> join(RequestContext context) {
        long nowNanos = mTicker.nowNanos();
        if (engines(context, nowNanos).isEmpty()) {
            return Mono.error(
                    context.placementRefusal(NO_ENGINE_RETRY_MILLIS, "no engine is known"));
        }
        long waitNanos = estimateWaitNanos(context, nowNanos);
        if (!queue(context).shouldQueue(waitNanos, giveUpNanos(context), nowNanos)) {
            return Mono.error(
                    context.placementRefusal(
                            busyRetryMillis(context, waitNanos), "no engine has room in time"));
        }
        Waiter waiter = new Waiter(context, Sinks.one());
        RequestId id = context.caller().id();
        synchronized (this) {
            if (mWaiters.putIfAbsent(id, waiter) != null) {
                return Mono.error(
                        context.placementRefusal(NO_ENGINE_RETRY_MILLIS, "this id waits already"));
            }
            queue(context).add(waiting(context));
            mPoll.update(Flux.interval(POLL).subscribe(tick -> dispatchQueued()));
        }
        mLog.write(
                new Decision.Queued(
                        id.value(),
                        queue(context).onTimeTokens(nowNanos),
                        TimeUnit.NANOSECONDS.toMillis(waitNanos)));
        reportWaiting();
        return waiter.sink().asMono().doOnCancel(() -> abandon(waiter));
    }

    private EngineQueue.QueuedRequest waiting(RequestContext context) {
        long onTimeMillis = (long) (context.route().targetLatencyMillis() * ON_TIME_SHARE);
        return new EngineQueue.QueuedRequest(
                context.caller().id(),
                context.tokens(),
                context.priority(),
                context.arrivedNanos(),
                context.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(onTimeMillis),
                giveUpNanos(context));
    }

    /** Returns when the caller leaves without a first event, or the run would not end in time. */
    private long giveUpNanos(RequestContext context) {
        long patience = TimeUnit.MILLISECONDS.toNanos(context.route().eventTimeoutMillis());
        long lastStartNanos =
                context.deadlineNanos() - queue(context).estimateRunNanos(context.tokens());
        return Math.min(lastStartNanos, context.arrivedNanos() + patience);
    }

    private long estimateWaitNanos(RequestContext context, long nowNanos) {
        long ahead =
                queue(context).onTimeTokens(nowNanos)
                        + context.tokens().plannedKvTokens()
                        + waitingElsewhere(context.service(), nowNanos);
        return queue(context).estimateWaitNanos(ahead, memoryTokens(context.service(), nowNanos));
    }

    /** Returns the memory of all decode engines of a service. */
    private long memoryTokens(ServiceId service, long nowNanos) {
        long decoding =
                mState.servers().usable(service, nowNanos).stream()
                        .filter(engine -> engine.hasStage(EngineStage.DECODE))
                        .count();
        return decoding * capacity(service).kvCacheTokens();
    }

    /**
     * Returns when to come back if the engines have no room: once their memory has changed hands,
     * and not all at once, but with time left for the run.
     */
    private long busyRetryMillis(RequestContext context, long waitNanos) {
        long spreadMillis = (long) (mRandom.getAsDouble() * RETRY_SPREAD_MILLIS);
        long turnoverMillis = TimeUnit.NANOSECONDS.toMillis(queue(context).meanRunNanos());
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos);
        long runMillis =
                TimeUnit.NANOSECONDS.toMillis(queue(context).estimateRunNanos(context.tokens()));
        long lastMillis = context.remainingMillis(mTicker.nowNanos()) - runMillis;
        long soonestMillis = Math.max(waitMillis, turnoverMillis) + spreadMillis;
        return Math.max(NO_ENGINE_RETRY_MILLIS, Math.min(soonestMillis, lastMillis));
    }

    /** Returns the tokens of requests that wait at other hosts and can still be on time. */
    private long waitingElsewhere(ServiceId service, long nowNanos) {
        return mFleet.freshHeartbeats(nowNanos).stream()
                .mapToLong(pulse -> pulse.waitingTokens(service))
                .sum();
    }

    private EngineQueue queue(RequestContext context) {
        return mQueues.of(context.service());
    }

    /** A seat that was granted as the caller went goes to the next one. */
    private void abandon(Waiter waiter) {
        synchronized (this) {
            queue(waiter.context()).remove(waiter.context().caller().id());
            mWaiters.remove(waiter.context().caller().id());
        }
        dispatchQueued();
    }

    private Optional<EngineAssignment> trySeat(RequestContext context) {
        long nowNanos = mTicker.nowNanos();
        return mPlanner.plan(
                        engines(context, nowNanos),
                        context.attempts().failedServers(),
                        capacity(context.service()),
                        context.tokens(),
                        context.route().targetLatencyMillis(),
                        nowNanos)
                .map(plan -> new EngineAssignment(plan, reserve(context, plan), nowNanos));
    }

    private Reservation reserve(RequestContext context, EnginePlan plan) {
        Reservation room =
                Reservation.decode(
                        mLoads, plan.decode(), context.tokens(), plan.prefill().isEmpty());
        double used = mLoads.total(plan.decode().id()).tokens();
        if (used > capacity(context.service()).kvCacheTokens() * REPORTED_SHARE) {
            mReporting = true;
            mLoadsChanged.run();
        }
        return room;
    }

    private List<LiveServer> engines(RequestContext context, long nowNanos) {
        return mState.servers().usable(context.service(), nowNanos);
    }

    /** Returns what each engine of a service can hold. */
    EngineCapacity capacity(ServiceId service) {
        return mState.table()
                .flatMap(table -> table.service(service))
                .flatMap(ServiceDeclaration::engine)
                .orElse(new EngineCapacity(Integer.MAX_VALUE, Long.MAX_VALUE, 0));
    }

    /** Lets through all that have room, and refuses those for whom it is too late. */
    public void dispatchQueued() {
        List<Grant> grants = new ArrayList<>();
        List<Waiter> hopeless = new ArrayList<>();
        synchronized (this) {
            long nowNanos = mTicker.nowNanos();
            mWaiters.values().stream()
                    .map(waiter -> waiter.context().service())
                    .distinct()
                    .toList()
                    .forEach(service -> dispatchQueued(service, grants, hopeless, nowNanos));
            if (mQueues.isEmpty()) {
                mPoll.update(Disposables.disposed());
            }
        }
        grants.forEach(this::emit);
        hopeless.forEach(this::refuse);
        reportWaiting();
    }

    private void dispatchQueued(
            ServiceId service, List<Grant> grants, List<Waiter> hopeless, long nowNanos) {
        EngineQueue queue = mQueues.of(service);
        long elsewhereTokens = waitingElsewhere(service, nowNanos);
        queue.unservable(elsewhereTokens, memoryTokens(service, nowNanos), nowNanos)
                .forEach(waiting -> take(queue, waiting).ifPresent(hopeless::add));
        Optional<EngineQueue.QueuedRequest> next = queue.next(elsewhereTokens > 0, nowNanos);
        while (next.isPresent()) {
            Optional<EngineAssignment> seat = trySeat(mWaiters.get(next.get().request()).context());
            if (seat.isEmpty()) {
                return;
            }
            take(queue, next.get()).ifPresent(waiter -> grants.add(new Grant(waiter, seat.get())));
            next = queue.next(elsewhereTokens > 0, nowNanos);
        }
    }

    /** Tells the others when requests that can be on time begin or cease to wait here. */
    private void reportWaiting() {
        boolean onTime = !mQueues.onTimeWork(mTicker.nowNanos()).isEmpty();
        if (mReportedOnTime.getAndSet(onTime) != onTime) {
            mLoadsChanged.run();
        }
    }

    private Optional<Waiter> take(EngineQueue queue, EngineQueue.QueuedRequest waiting) {
        queue.remove(waiting.request());
        return Optional.ofNullable(mWaiters.remove(waiting.request()));
    }

    private void emit(Grant grant) {
        boolean gone = grant.waiter().sink().currentSubscriberCount() == 0;
        if (gone || grant.waiter().sink().tryEmitValue(grant.seat()).isFailure()) {
            grant.seat().reservation().release();
            mLoadsChanged.run();
        }
    }

    private void refuse(Waiter waiter) {
        waiter.sink()
                .tryEmitError(
                        waiter.context()
                                .placementRefusal(
                                        busyRetryMillis(waiter.context(), 0),
                                        "no engine had room in time"));
    }
}
