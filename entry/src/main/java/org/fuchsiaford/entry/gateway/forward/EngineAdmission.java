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
 * Assigns engines with free capacity to model requests, in the order of {@link EngineQueue}, and
 * immediately refuses requests that cannot be served in time.
 *
 * <p>Invariant: the capacity for a request is reserved in the same step as its engines are
 * assigned. A queued request ends in exactly one way: it is assigned engines, it is refused, or its
 * caller cancels it. Thread-safe.
 */
public final class EngineAdmission {
    /** Interval at which the queues are checked for capacity that other hosts have released. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** Retry delay for callers if no engine is known, and minimum of all retry delays. */
    private static final long NO_ENGINE_RETRY_MILLIS = 500;

    /**
     * Fraction of the KV cache of an engine in use above which every change is reported to the
     * other hosts at once, because older reports are then too inaccurate to plan with.
     */
    private static final double REPORT_THRESHOLD = 0.4;

    /** Range over which the retries of requests refused together are spread. */
    private static final long RETRY_SPREAD_MILLIS = 1_000;

    /**
     * Latest start of a request that still meets its latency target, as a fraction of the target.
     */
    private static final double TARGET_START_FRACTION = 0.6;

    private final GatewayState mState;
    private final FleetView mFleet;
    private final LoadTracker mLoads;
    private final EnginePlanner mPlanner;
    private final EngineQueues mQueues;
    private final Runnable mOnLoadChanged;
    private final DoubleSupplier mRandom;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final Map<RequestId, QueueEntry> mQueuedRequests = new HashMap<>();
    private final Disposable.Swap mPoll = Disposables.swap();
    private final AtomicBoolean mReportedOnTimeWork = new AtomicBoolean();
    private volatile boolean mReportReleases;

    private record QueueEntry(RequestContext context, Sinks.One<EngineAssignment> sink) {}

    private record Grant(QueueEntry entry, EngineAssignment assignment) {}

    /**
     * Creates an admission.
     *
     * @param onLoadChanged called when changes of this host's load or queued work must be reported
     *     to the other hosts soon; must not block
     * @param random a source of uniformly distributed random numbers from 0 to 1
     */
    public EngineAdmission(
            GatewayState state,
            FleetView fleet,
            LoadTracker loads,
            EnginePlanner planner,
            EngineQueues queues,
            Runnable onLoadChanged,
            DoubleSupplier random,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mFleet = fleet;
        mLoads = loads;
        mPlanner = planner;
        mQueues = queues;
        mOnLoadChanged = onLoadChanged;
        mRandom = random;
        mLog = log;
        mTicker = ticker;
    }

    /**
     * Assigns engines to a request, which is queued until there is free capacity. Fails with {@link
     * RefusalException}. The caller must {@link #release} the assignment.
     */
    Mono<EngineAssignment> acquire(RequestContext context) {
        return Mono.defer(
                () -> {
                    Optional<EngineAssignment> assignment =
                            queue(context).isEmpty() ? tryAssign(context) : Optional.empty();
                    return assignment.map(Mono::just).orElseGet(() -> enqueue(context));
                });
    }

    /** Records that the first event of a request has arrived. */
    void recordFirstEvent(RequestContext context, EngineAssignment assignment) {
        queue(context).observeTimeToFirstEvent(mTicker.nowNanos() - assignment.grantedNanos());
    }

    /**
     * Releases the reserved capacity and assigns it to queued requests.
     *
     * @param complete whether the stream was complete; only then is its duration recorded
     */
    void release(RequestContext context, EngineAssignment assignment, boolean complete) {
        assignment.reservation().release();
        if (mReportReleases) {
            mOnLoadChanged.run();
            mReportReleases = !mQueues.isEmpty();
        }
        if (complete) {
            queue(context)
                    .observeRunDuration(
                            context.tokens(), mTicker.nowNanos() - assignment.grantedNanos());
        }
        dispatchQueued();
    }

    private Mono<EngineAssignment> enqueue(RequestContext context) {
        long nowNanos = mTicker.nowNanos();
        if (engines(context, nowNanos).isEmpty()) {
            return Mono.error(
                    context.placementRefusal(NO_ENGINE_RETRY_MILLIS, "no engine is known"));
        }
        long waitNanos = estimateWaitNanos(context, nowNanos);
        if (!queue(context).shouldQueue(waitNanos, firstEventDeadlineNanos(context), nowNanos)) {
            return Mono.error(
                    context.placementRefusal(
                            busyRetryMillis(context, waitNanos),
                            "no engine will have free capacity in time"));
        }
        QueueEntry entry = new QueueEntry(context, Sinks.one());
        RequestId id = context.caller().id();
        synchronized (this) {
            if (mQueuedRequests.putIfAbsent(id, entry) != null) {
                return Mono.error(
                        context.placementRefusal(
                                NO_ENGINE_RETRY_MILLIS,
                                "a request with this id is already queued"));
            }
            queue(context).add(queuedRequest(context));
            mPoll.update(Flux.interval(POLL_INTERVAL).subscribe(tick -> dispatchQueued()));
        }
        mLog.write(
                new Decision.Queued(
                        id.value(),
                        queue(context).onTimeTokens(nowNanos),
                        TimeUnit.NANOSECONDS.toMillis(waitNanos)));
        reportOnTimeWork();
        return entry.sink().asMono().doOnCancel(() -> cancel(entry));
    }

    private EngineQueue.QueuedRequest queuedRequest(RequestContext context) {
        long targetStartMillis =
                (long) (context.route().targetLatencyMillis() * TARGET_START_FRACTION);
        return new EngineQueue.QueuedRequest(
                context.caller().id(),
                context.tokens(),
                context.priority(),
                context.arrivedNanos(),
                context.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(targetStartMillis),
                firstEventDeadlineNanos(context));
    }

    /**
     * Returns the latest time for the first event: afterwards the caller abandons the stream, or
     * the run would not end before the deadline of the request.
     */
    private long firstEventDeadlineNanos(RequestContext context) {
        long eventTimeoutNanos =
                TimeUnit.MILLISECONDS.toNanos(context.route().eventTimeoutMillis());
        long latestRunStartNanos =
                context.deadlineNanos() - queue(context).estimateRunNanos(context.tokens());
        return Math.min(latestRunStartNanos, context.arrivedNanos() + eventTimeoutNanos);
    }

    private long estimateWaitNanos(RequestContext context, long nowNanos) {
        long aheadTokens =
                queue(context).onTimeTokens(nowNanos)
                        + context.tokens().plannedKvTokens()
                        + othersOnTimeTokens(context.service(), nowNanos);
        return queue(context)
                .estimateWaitNanos(aheadTokens, kvCacheTokens(context.service(), nowNanos));
    }

    /** Returns the KV cache capacity of all decode engines of a service, in tokens. */
    private long kvCacheTokens(ServiceId service, long nowNanos) {
        long decodeEngines =
                mState.servers().usable(service, nowNanos).stream()
                        .filter(engine -> engine.hasStage(EngineStage.DECODE))
                        .count();
        return decodeEngines * capacity(service).kvCacheTokens();
    }

    /**
     * Returns the retry delay for callers if the engines have no free capacity: at least one
     * turnover of the KV cache, which takes the mean duration of a run, spread at random so that
     * the callers do not return all at once, but short enough to leave time for the run before the
     * deadline.
     */
    private long busyRetryMillis(RequestContext context, long waitNanos) {
        long spreadMillis = (long) (mRandom.getAsDouble() * RETRY_SPREAD_MILLIS);
        long turnoverMillis = TimeUnit.NANOSECONDS.toMillis(queue(context).meanRunNanos());
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos);
        long runMillis =
                TimeUnit.NANOSECONDS.toMillis(queue(context).estimateRunNanos(context.tokens()));
        long latestMillis = context.remainingMillis(mTicker.nowNanos()) - runMillis;
        long preferredMillis = Math.max(waitMillis, turnoverMillis) + spreadMillis;
        return Math.max(NO_ENGINE_RETRY_MILLIS, Math.min(preferredMillis, latestMillis));
    }

    /**
     * Returns the tokens of the requests queued at other hosts that can still meet their target.
     */
    private long othersOnTimeTokens(ServiceId service, long nowNanos) {
        return mFleet.latestHeartbeats(nowNanos).stream()
                .mapToLong(heartbeat -> heartbeat.waitingTokens(service))
                .sum();
    }

    private EngineQueue queue(RequestContext context) {
        return mQueues.of(context.service());
    }

    /** Removes a cancelled request; capacity granted to it meanwhile is granted to the next one. */
    private void cancel(QueueEntry entry) {
        synchronized (this) {
            queue(entry.context()).remove(entry.context().caller().id());
            mQueuedRequests.remove(entry.context().caller().id());
        }
        dispatchQueued();
    }

    private Optional<EngineAssignment> tryAssign(RequestContext context) {
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
        Reservation reservation =
                Reservation.decode(
                        mLoads, plan.decode(), context.tokens(), plan.prefill().isEmpty());
        double usedTokens = mLoads.total(plan.decode().id()).tokens();
        if (usedTokens > capacity(context.service()).kvCacheTokens() * REPORT_THRESHOLD) {
            mReportReleases = true;
            mOnLoadChanged.run();
        }
        return reservation;
    }

    private List<LiveServer> engines(RequestContext context, long nowNanos) {
        return mState.servers().usable(context.service(), nowNanos);
    }

    /** Returns the capacity of each engine of a service; unlimited if none is declared. */
    EngineCapacity capacity(ServiceId service) {
        return mState.table()
                .flatMap(table -> table.service(service))
                .flatMap(ServiceDeclaration::engine)
                .orElse(new EngineCapacity(Integer.MAX_VALUE, Long.MAX_VALUE, 0));
    }

    /**
     * Assigns free capacity to queued requests and refuses those that can no longer be served in
     * time.
     */
    public void dispatchQueued() {
        List<Grant> grants = new ArrayList<>();
        List<QueueEntry> unservable = new ArrayList<>();
        synchronized (this) {
            long nowNanos = mTicker.nowNanos();
            mQueuedRequests.values().stream()
                    .map(entry -> entry.context().service())
                    .distinct()
                    .toList()
                    .forEach(service -> dispatchQueued(service, grants, unservable, nowNanos));
            if (mQueues.isEmpty()) {
                mPoll.update(Disposables.disposed());
            }
        }
        grants.forEach(this::emit);
        unservable.forEach(this::refuse);
        reportOnTimeWork();
    }

    private void dispatchQueued(
            ServiceId service, List<Grant> grants, List<QueueEntry> unservable, long nowNanos) {
        EngineQueue queue = mQueues.of(service);
        long othersTokens = othersOnTimeTokens(service, nowNanos);
        queue.unservable(othersTokens, kvCacheTokens(service, nowNanos), nowNanos)
                .forEach(queued -> remove(queue, queued).ifPresent(unservable::add));
        Optional<EngineQueue.QueuedRequest> next = queue.next(othersTokens > 0, nowNanos);
        while (next.isPresent()) {
            Optional<EngineAssignment> assignment =
                    tryAssign(mQueuedRequests.get(next.get().request()).context());
            if (assignment.isEmpty()) {
                return;
            }
            remove(queue, next.get())
                    .ifPresent(entry -> grants.add(new Grant(entry, assignment.get())));
            next = queue.next(othersTokens > 0, nowNanos);
        }
    }

    /** Reports when this host starts or stops having queued requests that can meet their target. */
    private void reportOnTimeWork() {
        boolean onTime = !mQueues.onTimeWork(mTicker.nowNanos()).isEmpty();
        if (mReportedOnTimeWork.getAndSet(onTime) != onTime) {
            mOnLoadChanged.run();
        }
    }

    private Optional<QueueEntry> remove(EngineQueue queue, EngineQueue.QueuedRequest queued) {
        queue.remove(queued.request());
        return Optional.ofNullable(mQueuedRequests.remove(queued.request()));
    }

    private void emit(Grant grant) {
        boolean cancelled = grant.entry().sink().currentSubscriberCount() == 0;
        if (cancelled || grant.entry().sink().tryEmitValue(grant.assignment()).isFailure()) {
            grant.assignment().reservation().release();
            mOnLoadChanged.run();
        }
    }

    private void refuse(QueueEntry entry) {
        entry.sink()
                .tryEmitError(
                        entry.context()
                                .placementRefusal(
                                        busyRetryMillis(entry.context(), 0),
                                        "no engine had free capacity in time"));
    }
}
