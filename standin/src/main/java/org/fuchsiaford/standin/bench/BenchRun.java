package org.fuchsiaford.standin.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.placement.EngineLoad;
import org.fuchsiaford.placement.EngineSpec;
import org.fuchsiaford.placement.ModelSpec;
import org.fuchsiaford.placement.PlacementDecision;
import org.fuchsiaford.placement.PlacementEvent;
import org.fuchsiaford.placement.PlacementEvent.Kind;
import org.fuchsiaford.placement.PlacementPolicy;
import org.fuchsiaford.placement.PlacementRequest;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.standin.engine.EngineProfile;

/**
 * Runs one policy against one workload in virtual time: callers, the router's handling of a
 * request, and the engines. Every run of the same policy, scenario and seed is the same. Not
 * thread-safe.
 */
final class BenchRun {
    private static final long MESSAGE_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final long LOAD_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long LOAD_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long DECISION_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long FAULT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long LEAVING_LAG_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long TRANSFER_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final double LOST_CACHE_EVENTS = 0.2;
    private static final int MAX_ATTEMPTS = 4;

    private final EventLoop mLoop = new EventLoop();
    private final Scenario mScenario;
    private final ModelSpec mModel;
    private final EngineProfile mProfile;
    private final Workload mWorkload;
    private final Random mRandom;
    private final PlacementPolicy mPolicy;
    private final Map<BackendServerId, SimulatedPrefillEngine> mPrefill = new LinkedHashMap<>();
    private final Map<BackendServerId, SimulatedDecodeEngine> mDecode = new LinkedHashMap<>();
    private final Map<RequestId, RequestRun> mRuns = new LinkedHashMap<>();
    private final Map<RequestId, RequestRun> mUndecided = new HashMap<>();
    private long mWastedTokens;
    private long mMessages;
    private long mDecisions;
    private long mDecisionWallNanos;

    BenchRun(
            long seed,
            Scenario scenario,
            ModelSpec model,
            EngineProfile profile,
            BiFunction<ModelSpec, List<EngineSpec>, PlacementPolicy> factory) {
        mScenario = scenario;
        mModel = model;
        mProfile = profile;
        mWorkload = Workload.create(seed, scenario, model.blockTokens());
        mRandom = new Random(seed + 1);
        List<EngineSpec> specs = specs();
        mPolicy = factory.apply(model, specs);
        specs.forEach(this::addEngine);
    }

    private List<EngineSpec> specs() {
        List<EngineSpec> specs = new ArrayList<>();
        for (int i = 0; i < mScenario.prefillEngines(); i++) {
            specs.add(spec("prefill-" + i, BackendKind.PREFILL, i));
        }
        for (int i = 0; i < mScenario.decodeEngines(); i++) {
            specs.add(spec("decode-" + i, BackendKind.DECODE, i));
        }
        return specs;
    }

    private EngineSpec spec(String name, BackendKind kind, int index) {
        return new EngineSpec(
                new BackendServerId(name),
                kind,
                new FailureDomainId("d" + index % 3),
                kind == BackendKind.DECODE ? mProfile.batchSlots() : 0,
                mProfile.blocks(),
                kind == BackendKind.PREFILL ? mProfile.prefillTokensPerSecond() : 0,
                mProfile.linkBytesPerSecond());
    }

    private void addEngine(EngineSpec spec) {
        if (spec.kind() == BackendKind.PREFILL) {
            mPrefill.put(spec.id(), new SimulatedPrefillEngine(spec.id(), mProfile, mLoop));
        } else {
            mDecode.put(spec.id(), new SimulatedDecodeEngine(spec.id(), mProfile, mLoop));
        }
    }

    BenchResult run() {
        long endNanos = TimeUnit.SECONDS.toNanos(mScenario.seconds());
        mWorkload.requests().forEach(r -> mLoop.after(r.arrivalNanos(), () -> arrive(r)));
        mLoop.after(endNanos / 2, this::breakSomething);
        schedule(LOAD_PERIOD_NANOS, this::reportLoads, endNanos);
        schedule(DECISION_PERIOD_NANOS, this::decide, endNanos);
        mLoop.run(endNanos + DRAIN_NANOS);
        long computed =
                mPrefill.values().stream().mapToLong(SimulatedPrefillEngine::computedTokens).sum();
        return new BenchResult(
                mScenario,
                mModel,
                List.copyOf(mRuns.values()),
                computed,
                mWastedTokens,
                mMessages,
                mDecisions,
                mDecisionWallNanos);
    }

    private void schedule(long periodNanos, Runnable action, long endNanos) {
        if (mLoop.nowNanos() <= endNanos + DRAIN_NANOS) {
            mLoop.after(
                    periodNanos,
                    () -> {
                        action.run();
                        schedule(periodNanos, action, endNanos);
                    });
        }
    }

    private void arrive(Workload.Request request) {
        RequestRun run = new RequestRun(request);
        mRuns.put(request.id(), run);
        submit(run);
    }

    private void submit(RequestRun run) {
        mMessages++;
        mLoop.after(
                MESSAGE_NANOS,
                () -> {
                    mUndecided.put(run.request().id(), run);
                    timed(() -> mPolicy.submit(placementRequest(run), mLoop.nowNanos()));
                    decide();
                });
    }

    private PlacementRequest placementRequest(RequestRun run) {
        Workload.Request request = run.request();
        long elapsedNanos = mLoop.nowNanos() - request.arrivalNanos();
        long leftNanos =
                run.delivered() > 0
                        ? mModel.firstTokenTargetNanos()
                        : mModel.firstTokenTargetNanos() - elapsedNanos - 2 * MESSAGE_NANOS;
        return new PlacementRequest(
                request.id(),
                request.tenant().id(),
                (long) request.tenant().entitlement(),
                request.promptTokens() + run.delivered(),
                request.maxTokens() - run.delivered(),
                request.prefixHashes(),
                Math.max(TimeUnit.NANOSECONDS.toMillis(leftNanos), 1));
    }

    private void timed(Runnable action) {
        long startNanos = System.nanoTime();
        action.run();
        mDecisionWallNanos += System.nanoTime() - startNanos;
    }

    private void decide() {
        List<PlacementDecision> decisions = new ArrayList<>();
        timed(() -> decisions.addAll(mPolicy.decide(mLoop.nowNanos())));
        decisions.forEach(
                decision -> {
                    mDecisions++;
                    mMessages++;
                    RequestRun run = mUndecided.remove(decision.request());
                    mLoop.after(MESSAGE_NANOS, () -> carryOut(run, decision));
                });
    }

    private void carryOut(RequestRun run, PlacementDecision decision) {
        if (!decision.placed()) {
            run.refuse();
            return;
        }
        Attempt attempt =
                new Attempt(run, run.nextAttempt(), decision.prefill(), decision.decode());
        SimulatedPrefillEngine engine = mPrefill.get(decision.prefill());
        mLoop.after(
                MESSAGE_NANOS,
                () ->
                        engine.prefill(
                                attempt,
                                () -> mLoop.after(MESSAGE_NANOS, () -> prefilled(attempt)),
                                () -> fail(attempt, attempt.prefill())));
    }

    private void prefilled(Attempt attempt) {
        report(attempt, Kind.PREFILL_FINISHED, attempt.prefill());
        SimulatedDecodeEngine engine = mDecode.get(attempt.decode());
        SimulatedPrefillEngine source = mPrefill.get(attempt.prefill());
        mLoop.after(MESSAGE_NANOS, () -> engine.decode(attempt, source, new Router(attempt)));
        int before = attempt.run().delivered();
        mLoop.after(TRANSFER_LIMIT_NANOS, () -> giveUpIfStalled(attempt, before));
    }

    private void giveUpIfStalled(Attempt attempt, int before) {
        if (!attempt.isOver() && attempt.run().delivered() == before) {
            mDecode.get(attempt.decode()).cancel(attempt);
            fail(attempt, attempt.decode());
        }
    }

    /** What the router does as a decode engine's stream goes on. */
    private final class Router implements SimulatedDecodeEngine.Listener {
        private final Attempt mAttempt;
        private boolean mStarted;

        Router(Attempt attempt) {
            mAttempt = attempt;
        }

        @Override
        public void token() {
            mAttempt.run().deliver(mLoop.nowNanos());
            if (!mStarted) {
                mStarted = true;
                report(mAttempt, Kind.FIRST_TOKEN, mAttempt.decode());
                keepAlive();
            }
        }

        private void keepAlive() {
            mLoop.after(
                    TimeUnit.MILLISECONDS.toNanos(1_500),
                    () -> {
                        if (!mAttempt.isOver()) {
                            report(mAttempt, Kind.RUNNING, null);
                            keepAlive();
                        }
                    });
        }

        @Override
        public void finished() {
            if (mAttempt.end()) {
                report(mAttempt, Kind.FINISHED, mAttempt.decode());
            }
        }

        @Override
        public void failed() {
            fail(mAttempt, mAttempt.decode());
        }
    }

    private void report(Attempt attempt, Kind kind, BackendServerId engine) {
        mMessages++;
        RequestId id = attempt.run().request().id();
        int delivered = attempt.run().delivered();
        mLoop.after(
                MESSAGE_NANOS,
                () -> {
                    PlacementEvent event = new PlacementEvent(id, kind, engine, delivered);
                    timed(() -> mPolicy.recordEvent(event, mLoop.nowNanos()));
                    decide();
                });
    }

    private void fail(Attempt attempt, BackendServerId engine) {
        if (!attempt.end()) {
            return;
        }
        mWastedTokens += attempt.computedTokens();
        report(attempt, Kind.ENGINE_FAILED, engine);
        if (attempt.run().nextAttempt() > MAX_ATTEMPTS) {
            attempt.run().fail();
            return;
        }
        mLoop.after(MESSAGE_NANOS, () -> submit(attempt.run()));
    }

    private void reportLoads() {
        mPrefill.values().forEach(engine -> reportLater(prefillLoad(engine)));
        mDecode.values().forEach(engine -> reportLater(decodeLoad(engine)));
    }

    private EngineLoad prefillLoad(SimulatedPrefillEngine engine) {
        List<EngineLoad.CacheEvent> events =
                engine.takeCacheChanges().stream()
                        .filter(change -> mRandom.nextDouble() >= LOST_CACHE_EVENTS)
                        .map(c -> new EngineLoad.CacheEvent(c.prefixHash(), c.stored()))
                        .toList();
        return new EngineLoad(engine.id(), engine.load(), 0, engine.freeBlocks(), events);
    }

    private static EngineLoad decodeLoad(SimulatedDecodeEngine engine) {
        return new EngineLoad(
                engine.id(), engine.running(), engine.waiting(), engine.freeBlocks(), List.of());
    }

    private void reportLater(EngineLoad load) {
        mMessages++;
        mLoop.after(LOAD_LAG_NANOS, () -> timed(() -> mPolicy.updateLoad(load, mLoop.nowNanos())));
    }

    private void breakSomething() {
        SimulatedPrefillEngine prefill = mPrefill.values().iterator().next();
        SimulatedDecodeEngine decode = mDecode.values().iterator().next();
        switch (mScenario.fault()) {
            case NONE -> {}
            case PREFILL_DEATH -> {
                prefill.die();
                mLoop.after(FAULT_NANOS, prefill::comeBack);
            }
            case DECODE_DEATH -> {
                decode.die();
                mLoop.after(FAULT_NANOS, decode::comeBack);
            }
            case LINK_STALL -> decode.stall(FAULT_NANOS);
            case LEAVING ->
                    mLoop.after(
                            LEAVING_LAG_NANOS,
                            () ->
                                    mPolicy.reconfigure(
                                            mModel,
                                            specs().stream()
                                                    .filter(s -> !s.id().equals(decode.id()))
                                                    .toList()));
        }
    }
}
