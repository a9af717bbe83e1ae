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
 * Simulates clients, the router and engines in virtual time for a policy and a workload. Runs with
 * the same policy, scenario and seed are identical, except for the wall-clock time of decisions.
 * Not thread-safe.
 */
final class BenchRun {
    private static final long MESSAGE_LATENCY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final long LOAD_REPORT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long LOAD_REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long DECISION_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long FAULT_DURATION_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long LEAVING_NOTICE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long TRANSFER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long RUNNING_REPORT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final double LOST_CACHE_EVENT_FRACTION = 0.2;
    private static final int MAX_ATTEMPTS = 4;

    private final VirtualTimeScheduler mScheduler = new VirtualTimeScheduler();
    private final Scenario mScenario;
    private final ModelSpec mModel;
    private final EngineProfile mProfile;
    private final Workload mWorkload;
    private final Random mRandom;
    private final PlacementPolicy mPolicy;
    private final Map<BackendServerId, SimulatedPrefillEngine> mPrefillEngines =
            new LinkedHashMap<>();
    private final Map<BackendServerId, SimulatedDecodeEngine> mDecodeEngines =
            new LinkedHashMap<>();
    private final Map<RequestId, RequestProgress> mRequests = new LinkedHashMap<>();
    private final Map<RequestId, RequestProgress> mUndecided = new HashMap<>();
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
        List<EngineSpec> specs = engineSpecs();
        mPolicy = factory.apply(model, specs);
        specs.forEach(this::addEngine);
    }

    private List<EngineSpec> engineSpecs() {
        List<EngineSpec> specs = new ArrayList<>();
        for (int i = 0; i < mScenario.prefillEngines(); i++) {
            specs.add(engineSpec("prefill-" + i, BackendKind.PREFILL, i));
        }
        for (int i = 0; i < mScenario.decodeEngines(); i++) {
            specs.add(engineSpec("decode-" + i, BackendKind.DECODE, i));
        }
        return specs;
    }

    private EngineSpec engineSpec(String name, BackendKind kind, int index) {
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
            mPrefillEngines.put(
                    spec.id(), new SimulatedPrefillEngine(spec.id(), mProfile, mScheduler));
        } else {
            mDecodeEngines.put(
                    spec.id(), new SimulatedDecodeEngine(spec.id(), mProfile, mScheduler));
        }
    }

    BenchResult run() {
        long endNanos = TimeUnit.SECONDS.toNanos(mScenario.seconds());
        mWorkload.requests().forEach(r -> mScheduler.schedule(r.arrivalNanos(), () -> arrive(r)));
        mScheduler.schedule(endNanos / 2, this::injectFault);
        scheduleAtFixedRate(LOAD_REPORT_PERIOD_NANOS, this::reportLoads, endNanos);
        scheduleAtFixedRate(DECISION_PERIOD_NANOS, this::decide, endNanos);
        mScheduler.run(endNanos + DRAIN_NANOS);
        long computed =
                mPrefillEngines.values().stream()
                        .mapToLong(SimulatedPrefillEngine::computedTokens)
                        .sum();
        return new BenchResult(
                mScenario,
                mModel,
                List.copyOf(mRequests.values()),
                computed,
                mWastedTokens,
                mMessages,
                mDecisions,
                mDecisionWallNanos);
    }

    private void scheduleAtFixedRate(long periodNanos, Runnable action, long endNanos) {
        if (mScheduler.nowNanos() <= endNanos + DRAIN_NANOS) {
            mScheduler.schedule(
                    periodNanos,
                    () -> {
                        action.run();
                        scheduleAtFixedRate(periodNanos, action, endNanos);
                    });
        }
    }

    private void arrive(Workload.Request request) {
        RequestProgress progress = new RequestProgress(request);
        mRequests.put(request.id(), progress);
        submit(progress);
    }

    private void submit(RequestProgress progress) {
        mMessages++;
        mScheduler.schedule(
                MESSAGE_LATENCY_NANOS,
                () -> {
                    mUndecided.put(progress.request().id(), progress);
                    measureDecisionTime(
                            () ->
                                    mPolicy.submit(
                                            placementRequest(progress), mScheduler.nowNanos()));
                    decide();
                });
    }

    private PlacementRequest placementRequest(RequestProgress progress) {
        Workload.Request request = progress.request();
        long elapsedNanos = mScheduler.nowNanos() - request.arrivalNanos();
        long remainingNanos =
                progress.delivered() > 0
                        ? mModel.firstTokenTargetNanos()
                        : mModel.firstTokenTargetNanos() - elapsedNanos - 2 * MESSAGE_LATENCY_NANOS;
        return new PlacementRequest(
                request.id(),
                request.workspace().id(),
                (long) request.workspace().entitlement(),
                request.promptTokens() + progress.delivered(),
                request.maxTokens() - progress.delivered(),
                request.prefixHashes(),
                Math.max(TimeUnit.NANOSECONDS.toMillis(remainingNanos), 1));
    }

    private void measureDecisionTime(Runnable action) {
        long startNanos = System.nanoTime();
        action.run();
        mDecisionWallNanos += System.nanoTime() - startNanos;
    }

    private void decide() {
        List<PlacementDecision> decisions = new ArrayList<>();
        measureDecisionTime(() -> decisions.addAll(mPolicy.decide(mScheduler.nowNanos())));
        decisions.forEach(
                decision -> {
                    mDecisions++;
                    mMessages++;
                    RequestProgress progress = mUndecided.remove(decision.request());
                    mScheduler.schedule(MESSAGE_LATENCY_NANOS, () -> apply(progress, decision));
                });
    }

    private void apply(RequestProgress progress, PlacementDecision decision) {
        if (!decision.placed()) {
            progress.refuse();
            return;
        }
        Attempt attempt =
                new Attempt(
                        progress, progress.nextAttempt(), decision.prefill(), decision.decode());
        SimulatedPrefillEngine engine = mPrefillEngines.get(decision.prefill());
        mScheduler.schedule(
                MESSAGE_LATENCY_NANOS,
                () ->
                        engine.prefill(
                                attempt,
                                () ->
                                        mScheduler.schedule(
                                                MESSAGE_LATENCY_NANOS,
                                                () -> onPrefillFinished(attempt)),
                                () -> fail(attempt, attempt.prefill())));
    }

    private void onPrefillFinished(Attempt attempt) {
        report(attempt, Kind.PREFILL_FINISHED, attempt.prefill());
        SimulatedDecodeEngine engine = mDecodeEngines.get(attempt.decode());
        SimulatedPrefillEngine source = mPrefillEngines.get(attempt.prefill());
        mScheduler.schedule(
                MESSAGE_LATENCY_NANOS,
                () -> engine.decode(attempt, source, new RouterListener(attempt)));
        int deliveredBefore = attempt.progress().delivered();
        mScheduler.schedule(TRANSFER_TIMEOUT_NANOS, () -> failIfStalled(attempt, deliveredBefore));
    }

    private void failIfStalled(Attempt attempt, int deliveredBefore) {
        if (!attempt.isEnded() && attempt.progress().delivered() == deliveredBefore) {
            mDecodeEngines.get(attempt.decode()).cancel(attempt);
            fail(attempt, attempt.decode());
        }
    }

    /** Handles the stream of a decode engine as the router does. */
    private final class RouterListener implements SimulatedDecodeEngine.DecodeListener {
        private final Attempt mAttempt;
        private boolean mStarted;

        RouterListener(Attempt attempt) {
            mAttempt = attempt;
        }

        @Override
        public void onToken() {
            mAttempt.progress().deliver(mScheduler.nowNanos());
            if (!mStarted) {
                mStarted = true;
                report(mAttempt, Kind.FIRST_TOKEN, mAttempt.decode());
                scheduleRunningReport();
            }
        }

        private void scheduleRunningReport() {
            mScheduler.schedule(
                    RUNNING_REPORT_PERIOD_NANOS,
                    () -> {
                        if (!mAttempt.isEnded()) {
                            report(mAttempt, Kind.RUNNING, null);
                            scheduleRunningReport();
                        }
                    });
        }

        @Override
        public void onFinished() {
            if (mAttempt.end()) {
                report(mAttempt, Kind.FINISHED, mAttempt.decode());
            }
        }

        @Override
        public void onFailed() {
            fail(mAttempt, mAttempt.decode());
        }
    }

    private void report(Attempt attempt, Kind kind, BackendServerId engine) {
        mMessages++;
        RequestId id = attempt.progress().request().id();
        int delivered = attempt.progress().delivered();
        mScheduler.schedule(
                MESSAGE_LATENCY_NANOS,
                () -> {
                    PlacementEvent event = new PlacementEvent(id, kind, engine, delivered);
                    measureDecisionTime(() -> mPolicy.recordEvent(event, mScheduler.nowNanos()));
                    decide();
                });
    }

    private void fail(Attempt attempt, BackendServerId engine) {
        if (!attempt.end()) {
            return;
        }
        mWastedTokens += attempt.computedTokens();
        report(attempt, Kind.ENGINE_FAILED, engine);
        if (attempt.progress().nextAttempt() > MAX_ATTEMPTS) {
            attempt.progress().fail();
            return;
        }
        mScheduler.schedule(MESSAGE_LATENCY_NANOS, () -> submit(attempt.progress()));
    }

    private void reportLoads() {
        mPrefillEngines.values().forEach(engine -> sendLoad(prefillLoad(engine)));
        mDecodeEngines.values().forEach(engine -> sendLoad(decodeLoad(engine)));
    }

    private EngineLoad prefillLoad(SimulatedPrefillEngine engine) {
        List<EngineLoad.CacheEvent> events =
                engine.takeCacheChanges().stream()
                        .filter(change -> mRandom.nextDouble() >= LOST_CACHE_EVENT_FRACTION)
                        .map(c -> new EngineLoad.CacheEvent(c.prefixHash(), c.stored()))
                        .toList();
        return new EngineLoad(engine.id(), engine.load(), 0, engine.freeBlocks(), events);
    }

    private static EngineLoad decodeLoad(SimulatedDecodeEngine engine) {
        return new EngineLoad(
                engine.id(), engine.running(), engine.waiting(), engine.freeBlocks(), List.of());
    }

    private void sendLoad(EngineLoad load) {
        mMessages++;
        mScheduler.schedule(
                LOAD_REPORT_DELAY_NANOS,
                () -> measureDecisionTime(() -> mPolicy.updateLoad(load, mScheduler.nowNanos())));
    }

    private void injectFault() {
        SimulatedPrefillEngine prefill = mPrefillEngines.values().iterator().next();
        SimulatedDecodeEngine decode = mDecodeEngines.values().iterator().next();
        switch (mScenario.fault()) {
            case NONE -> {}
            case PREFILL_DEATH -> {
                prefill.crash();
                mScheduler.schedule(FAULT_DURATION_NANOS, prefill::restart);
            }
            case DECODE_DEATH -> {
                decode.crash();
                mScheduler.schedule(FAULT_DURATION_NANOS, decode::restart);
            }
            case LINK_STALL -> decode.stall(FAULT_DURATION_NANOS);
            case LEAVING ->
                    mScheduler.schedule(
                            LEAVING_NOTICE_DELAY_NANOS,
                            () ->
                                    mPolicy.reconfigure(
                                            mModel,
                                            engineSpecs().stream()
                                                    .filter(s -> !s.id().equals(decode.id()))
                                                    .toList()));
        }
    }
}
