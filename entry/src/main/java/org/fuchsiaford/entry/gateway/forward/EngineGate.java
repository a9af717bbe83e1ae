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
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostPulse;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.ServiceDeclaration;
import org.fuchsiaford.selection.EnginePlan;
import org.fuchsiaford.selection.EnginePlanner;
import org.fuchsiaford.selection.EngineQueue;
import org.fuchsiaford.selection.LoadBoard;
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
public final class EngineGate {
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
    private final LoadBoard mLoads;
    private final EnginePlanner mPlanner;
    private final EngineQueue mQueue;
    private final Runnable mLoadsChanged;
    private final DoubleSupplier mRandom;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final Map<RequestId, Waiter> mWaiters = new HashMap<>();
    private final Disposable.Swap mPoll = Disposables.swap();
    private final AtomicBoolean mReportedOnTime = new AtomicBoolean();
    private volatile boolean mReporting;

    private record Waiter(RequestContext context, Sinks.One<EngineSeat> sink) {}

    private record Grant(Waiter waiter, EngineSeat seat) {}

    /**
     * Creates a gate.
     *
     * @param loadsChanged told whenever this host's load at engines has changed; must not wait
     * @param random evenly distributed numbers from 0 to 1
     */
    public EngineGate(
            GatewayState state,
            FleetView fleet,
            LoadBoard loads,
            EnginePlanner planner,
            EngineQueue queue,
            Runnable loadsChanged,
            DoubleSupplier random,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mFleet = fleet;
        mLoads = loads;
        mPlanner = planner;
        mQueue = queue;
        mLoadsChanged = loadsChanged;
        mRandom = random;
        mLog = log;
        mTicker = ticker;
    }

    /** Returns a seat as soon as there is one; fails with {@link RefusalException}. */
    Mono<EngineSeat> acquire(RequestContext context) {
        return Mono.defer(
                () -> {
                    Optional<EngineSeat> seat =
                            mQueue.isEmpty() ? trySeat(context) : Optional.empty();
                    return seat.map(Mono::just).orElseGet(() -> join(context));
                });
    }

    /** Learns how long it took until an engine's answer began. */
    void started(EngineSeat seat) {
        mQueue.observeStart(mTicker.nowNanos() - seat.grantedNanos());
    }

    /** Learns from an ended stream, and lets the next request take its room. */
    void leave(RequestContext context, EngineSeat seat, boolean whole) {
        seat.room().release();
        if (mReporting) {
            mLoadsChanged.run();
            mReporting = !mQueue.isEmpty();
        }
        if (whole) {
            mQueue.observeRun(context.tokens(), mTicker.nowNanos() - seat.grantedNanos());
        }
        drain();
    }

    private Mono<EngineSeat> join(RequestContext context) {
        long nowNanos = mTicker.nowNanos();
        List<LiveServer> engines = engines(context, nowNanos);
        if (engines.isEmpty()) {
            return Mono.error(refusal(context, NO_ENGINE_RETRY_MILLIS, "no engine is known"));
        }
        long waitNanos = estimateWaitNanos(context, engines, nowNanos);
        if (!mQueue.isHopeful(waitNanos, giveUpNanos(context), nowNanos)) {
            return Mono.error(
                    refusal(
                            context,
                            busyRetryMillis(context, waitNanos),
                            "no engine has room in time"));
        }
        Waiter waiter = new Waiter(context, Sinks.one());
        RequestId id = context.caller().id();
        synchronized (this) {
            if (mWaiters.putIfAbsent(id, waiter) != null) {
                return Mono.error(
                        refusal(context, NO_ENGINE_RETRY_MILLIS, "this id waits already"));
            }
            mQueue.add(waiting(context));
            mPoll.update(Flux.interval(POLL).subscribe(tick -> drain()));
        }
        mLog.write(
                new Decision.Queued(
                        id.value(),
                        mQueue.onTimeTokens(nowNanos),
                        TimeUnit.NANOSECONDS.toMillis(waitNanos)));
        reportWaiting();
        return waiter.sink().asMono().doOnCancel(() -> abandon(waiter));
    }

    private EngineQueue.Waiting waiting(RequestContext context) {
        long onTimeMillis = (long) (context.route().targetMillis() * ON_TIME_SHARE);
        return new EngineQueue.Waiting(
                context.caller().id(),
                context.tokens(),
                context.priority(),
                context.arrivedNanos(),
                context.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(onTimeMillis),
                giveUpNanos(context));
    }

    /** Returns when the caller leaves without a first event, or the run would not end in time. */
    private long giveUpNanos(RequestContext context) {
        long patience = TimeUnit.MILLISECONDS.toNanos(context.route().eventPatienceMillis());
        long lastStartNanos = context.deadlineNanos() - mQueue.runNanos(context.tokens());
        return Math.min(lastStartNanos, context.arrivedNanos() + patience);
    }

    private long estimateWaitNanos(
            RequestContext context, List<LiveServer> engines, long nowNanos) {
        long ahead =
                mQueue.onTimeTokens(nowNanos)
                        + context.tokens().planned()
                        + waitingElsewhere(nowNanos);
        return mQueue.estimateWaitNanos(ahead, memoryTokens(context, engines));
    }

    private long memoryTokens(RequestContext context, List<LiveServer> engines) {
        long decoding = engines.stream().filter(e -> e.isStage(EngineStage.DECODE)).count();
        return decoding * capacity(context).memoryTokens();
    }

    /**
     * Returns when to come back if the engines have no room: once their memory has changed hands,
     * and not all at once, but with time left for the run.
     */
    private long busyRetryMillis(RequestContext context, long waitNanos) {
        long spreadMillis = (long) (mRandom.getAsDouble() * RETRY_SPREAD_MILLIS);
        long turnoverMillis = TimeUnit.NANOSECONDS.toMillis(mQueue.turnoverNanos());
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos);
        long runMillis = TimeUnit.NANOSECONDS.toMillis(mQueue.runNanos(context.tokens()));
        long lastMillis = context.leftMillis(mTicker.nowNanos()) - runMillis;
        long soonestMillis = Math.max(waitMillis, turnoverMillis) + spreadMillis;
        return Math.max(NO_ENGINE_RETRY_MILLIS, Math.min(soonestMillis, lastMillis));
    }

    /** Returns the tokens of requests that wait at other hosts and can still be on time. */
    private long waitingElsewhere(long nowNanos) {
        return mFleet.freshPulses(nowNanos).stream().mapToLong(HostPulse::waitingTokens).sum();
    }

    private static RefusalException refusal(
            RequestContext context, long retryMillis, String reason) {
        boolean mayHaveRun = context.attempts().mayHaveRun();
        return new RefusalException(
                mayHaveRun ? RefusalReason.BACKEND_FAILED : RefusalReason.BUSY,
                mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN,
                mayHaveRun ? 0 : Math.max(1, retryMillis),
                Step.PLACE,
                RemoteName.SELF,
                reason);
    }

    /** A seat that was granted as the caller went goes to the next one. */
    private void abandon(Waiter waiter) {
        synchronized (this) {
            mQueue.remove(waiter.context().caller().id());
            mWaiters.remove(waiter.context().caller().id());
        }
        drain();
    }

    private Optional<EngineSeat> trySeat(RequestContext context) {
        long nowNanos = mTicker.nowNanos();
        return mPlanner.plan(
                        engines(context, nowNanos),
                        context.attempts().failed(),
                        capacity(context),
                        context.tokens(),
                        context.route().targetMillis(),
                        nowNanos)
                .map(plan -> new EngineSeat(plan, reserve(context, plan), nowNanos));
    }

    private Reservation reserve(RequestContext context, EnginePlan plan) {
        Reservation room =
                Reservation.decode(
                        mLoads, plan.decode(), context.tokens(), plan.prefill().isEmpty());
        double used = mLoads.total(plan.decode().id()).tokens();
        if (used > capacity(context).memoryTokens() * REPORTED_SHARE) {
            mReporting = true;
            mLoadsChanged.run();
        }
        return room;
    }

    private List<LiveServer> engines(RequestContext context, long nowNanos) {
        return mState.servers().usable(context.service(), nowNanos);
    }

    /** Returns what each engine of a request's service can hold. */
    EngineCapacity capacity(RequestContext context) {
        return mState.table()
                .flatMap(table -> table.service(context.service()))
                .flatMap(ServiceDeclaration::engine)
                .orElse(new EngineCapacity(Integer.MAX_VALUE, Long.MAX_VALUE, 0));
    }

    /** Lets through all that have room, and refuses those for whom it is too late. */
    public void drain() {
        List<Grant> grants = new ArrayList<>();
        List<Waiter> hopeless = new ArrayList<>();
        synchronized (this) {
            long nowNanos = mTicker.nowNanos();
            hopeless(nowNanos).forEach(w -> take(w).ifPresent(hopeless::add));
            boolean othersOnTime = waitingElsewhere(nowNanos) > 0;
            Optional<EngineQueue.Waiting> next = mQueue.next(othersOnTime, nowNanos);
            while (next.isPresent()) {
                Optional<EngineSeat> seat = trySeat(mWaiters.get(next.get().request()).context());
                if (seat.isEmpty()) {
                    break;
                }
                take(next.get()).ifPresent(waiter -> grants.add(new Grant(waiter, seat.get())));
                next = mQueue.next(othersOnTime, nowNanos);
            }
            if (mQueue.isEmpty()) {
                mPoll.update(Disposables.disposed());
            }
        }
        grants.forEach(this::emit);
        hopeless.forEach(this::refuse);
        reportWaiting();
    }

    /** Tells the others when requests that can be on time begin or cease to wait here. */
    private void reportWaiting() {
        boolean onTime = mQueue.onTimeTokens(mTicker.nowNanos()) > 0;
        if (mReportedOnTime.getAndSet(onTime) != onTime) {
            mLoadsChanged.run();
        }
    }

    private List<EngineQueue.Waiting> hopeless(long nowNanos) {
        return mWaiters.values().stream()
                .findAny()
                .map(Waiter::context)
                .map(
                        any ->
                                mQueue.hopeless(
                                        waitingElsewhere(nowNanos),
                                        memoryTokens(any, engines(any, nowNanos)),
                                        nowNanos))
                .orElse(List.of());
    }

    private Optional<Waiter> take(EngineQueue.Waiting waiting) {
        mQueue.remove(waiting.request());
        return Optional.ofNullable(mWaiters.remove(waiting.request()));
    }

    private void emit(Grant grant) {
        boolean gone = grant.waiter().sink().currentSubscriberCount() == 0;
        if (gone || grant.waiter().sink().tryEmitValue(grant.seat()).isFailure()) {
            grant.seat().room().release();
            mLoadsChanged.run();
        }
    }

    private void refuse(Waiter waiter) {
        waiter.sink()
                .tryEmitError(
                        refusal(
                                waiter.context(),
                                busyRetryMillis(waiter.context(), 0),
                                "no engine had room in time"));
    }
}
