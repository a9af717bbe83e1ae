package org.fuchsiaford.entry.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.entry.backend.EngineClient;
import org.fuchsiaford.placement.EngineLoad;
import org.fuchsiaford.placement.EngineSpec;
import org.fuchsiaford.placement.ModelSpec;
import org.fuchsiaford.placement.PlacementDecision;
import org.fuchsiaford.placement.PlacementEvent;
import org.fuchsiaford.placement.PlacementRequest;
import org.fuchsiaford.placement.PoolScheduler;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Runs the scheduler of one pool on this host: accepts requests and events, reads the load of the
 * engines while the pool is in use, and emits decisions.
 *
 * <p>All state is soft. If two hosts schedule a pool at the same time, only performance suffers,
 * since each engine itself decides whether to accept a request. Thread-safe.
 */
final class PoolSchedulerRunner {
    private static final Duration DECISION_INTERVAL = Duration.ofMillis(5);
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(50);
    private static final Duration LOAD_INTERVAL = Duration.ofMillis(250);
    private static final long IDLE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(10);

    private volatile List<BackendServer> mEngines;
    private final EngineClient mClient;
    private final Ticker mTicker;
    private final PoolScheduler mScheduler;
    private final Map<RequestId, Sinks.One<PlacementDecision>> mWaiting = new HashMap<>();
    private final Disposable mDecisionTask;
    private final Disposable mLoadTask;
    private long mLastUseNanos;

    PoolSchedulerRunner(
            ModelSpec model, List<BackendServer> engines, EngineClient client, Ticker ticker) {
        mEngines = List.copyOf(engines);
        mClient = client;
        mTicker = ticker;
        mScheduler = new PoolScheduler(model, engines.stream().map(EngineSpec::of).toList());
        mLastUseNanos = ticker.nowNanos();
        mDecisionTask =
                Mono.defer(() -> Mono.delay(isIdle() ? IDLE_INTERVAL : DECISION_INTERVAL))
                        .doOnNext(tick -> decideIfWaiting())
                        .repeat()
                        .subscribe();
        mLoadTask =
                Mono.defer(this::readLoads).then(Mono.delay(LOAD_INTERVAL)).repeat().subscribe();
    }

    /**
     * Applies a changed set of engines together with the model; does nothing if the engines are
     * unchanged. Waiting and running requests are unaffected.
     */
    void reconfigure(ModelSpec model, List<BackendServer> engines) {
        if (engines.equals(mEngines)) {
            return;
        }
        mEngines = List.copyOf(engines);
        synchronized (this) {
            mScheduler.reconfigure(model, engines.stream().map(EngineSpec::of).toList());
        }
        decide();
    }

    Mono<PlacementDecision> place(PlacementRequest request) {
        Sinks.One<PlacementDecision> sink = Sinks.one();
        synchronized (this) {
            mLastUseNanos = mTicker.nowNanos();
            mWaiting.put(request.request(), sink);
            mScheduler.submit(request, mLastUseNanos);
        }
        decide();
        return sink.asMono().doOnCancel(() -> cancelIfWaiting(request.request()));
    }

    private void cancelIfWaiting(RequestId request) {
        boolean waiting;
        synchronized (this) {
            waiting = mWaiting.containsKey(request);
        }
        if (waiting) {
            cancel(request);
        }
    }

    void cancel(RequestId request) {
        synchronized (this) {
            mWaiting.remove(request);
            mScheduler.withdraw(request, mTicker.nowNanos());
        }
        decide();
    }

    void recordEvent(PlacementEvent event) {
        synchronized (this) {
            mLastUseNanos = mTicker.nowNanos();
            mScheduler.recordEvent(event, mLastUseNanos);
        }
        decide();
    }

    private void decideIfWaiting() {
        boolean waiting;
        synchronized (this) {
            waiting = !mWaiting.isEmpty();
        }
        if (waiting) {
            decide();
        }
    }

    private void decide() {
        List<PlacementDecision> decisions;
        Map<RequestId, Sinks.One<PlacementDecision>> sinks = new HashMap<>();
        synchronized (this) {
            decisions = mScheduler.decide(mTicker.nowNanos());
            decisions.forEach(d -> sinks.put(d.request(), mWaiting.remove(d.request())));
        }
        decisions.forEach(decision -> emit(sinks.get(decision.request()), decision));
    }

    private void emit(Sinks.One<PlacementDecision> sink, PlacementDecision decision) {
        if (sink != null) {
            sink.tryEmitValue(decision);
        }
    }

    private Mono<Void> readLoads() {
        if (isIdle()) {
            return Mono.empty();
        }
        return Flux.fromIterable(mEngines)
                .flatMap(engine -> mClient.load(engine).onErrorResume(e -> Mono.empty()))
                .doOnNext(this::updateLoad)
                .then();
    }

    private synchronized void updateLoad(EngineLoad load) {
        mScheduler.updateLoad(load, mTicker.nowNanos());
    }

    synchronized boolean isIdle() {
        return mWaiting.isEmpty() && mTicker.nowNanos() - mLastUseNanos > IDLE_AFTER_NANOS;
    }

    void stop() {
        mDecisionTask.dispose();
        mLoadTask.dispose();
    }
}
