package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.stream.ServedVersions;

/**
 * A scheduler and engines in virtual time. A part of some prompts crashes the engine that begins to
 * answer them, and every stream of that engine breaks off.
 */
class CrashingPromptTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final HostId HOST = new HostId("self");
    private static final EngineCapacity CAPACITY = new EngineCapacity(32, 46_605, 500);
    private static final PromptPartId BAD = new PromptPartId("bad");
    private static final long FIRST_EVENT_NANOS = 200 * MILLI;
    private static final long CRASH_NANOS = FIRST_EVENT_NANOS + 50 * MILLI;
    private static final long RUN_NANOS = 2 * SECOND;
    private static final long RESTART_NANOS = 4 * SECOND;
    private static final long BAD_FROM_NANOS = 6 * SECOND;
    private static final long END_NANOS = 40 * SECOND;

    /** Crashes that must be enough to find the cause, with the time until it must be in force. */
    private static final int MAX_CRASHES = 5;

    private static final long MAX_DELAY_NANOS = 3 * SECOND;
    private static final int MAX_LATE_REQUESTS = 3;

    private final LoadTracker mLoads = new LoadTracker();
    private final Map<BackendServerId, Long> mDownUntilNanos = new HashMap<>();
    private List<LiveServer> mEngines = List.of();
    private EngineScheduler mScheduler;
    private Random mRandom = new Random(1);
    private long mNowNanos;

    private record Run(EngineRequest request, BackendServerId engine, long atNanos, Step step) {}

    private enum Step {
        FIRST_EVENT,
        CRASH,
        END
    }

    private final PriorityQueue<Run> mRuns =
            new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    private final List<Long> mCrashNanos = new ArrayList<>();
    private final List<Long> mBadGrantNanos = new ArrayList<>();
    private int mSoundRequests;
    private int mSoundServed;

    private void start(int engines, long seed) {
        mRandom = new Random(seed);
        mEngines =
                IntStream.range(0, engines)
                        .mapToObj(i -> TestServers.engine("e" + i, EngineStage.DECODE))
                        .toList();
        EnginePool pool =
                new EnginePool() {
                    @Override
                    public List<LiveServer> usable(ServiceId service, long nowNanos) {
                        return mEngines.stream().filter(e -> isUp(e.id())).toList();
                    }

                    @Override
                    public EngineCapacity capacity(ServiceId service) {
                        return CAPACITY;
                    }
                };
        mScheduler =
                new EngineScheduler(
                        HOST,
                        pool,
                        mLoads,
                        new EnginePlanner(mLoads, new ServerHealth(), mRandom::nextDouble),
                        new EngineQueues(),
                        service -> 0,
                        new PromptQuarantine(),
                        new ServedVersions(),
                        new ServerRateLimiter(new ServerLimits(), () -> 1),
                        mRandom::nextDouble);
    }

    private boolean isUp(BackendServerId engine) {
        return mDownUntilNanos.getOrDefault(engine, 0L) <= mNowNanos;
    }

    private EngineRequest request(String id, List<PromptPartId> parts, int promptTokens) {
        return new EngineRequest(
                HOST,
                new FailureDomainId("here"),
                new RequestId(id),
                mEngines.get(0).service(),
                new TokenCounts(promptTokens, 100),
                parts,
                1,
                Set.of(),
                Optional.empty(),
                900,
                mNowNanos,
                mNowNanos + 3_600 * MILLI,
                mNowNanos + 14 * SECOND,
                RequestAttributes.NONE);
    }

    private void submit(String id, boolean bad) {
        List<PromptPartId> parts = new ArrayList<>();
        parts.add(new PromptPartId("shared" + mRandom.nextInt(3)));
        if (bad) {
            parts.add(BAD);
        }
        parts.add(new PromptPartId("own" + id));
        EngineAnswer answer = mScheduler.submit(request(id, parts, 4_000), mNowNanos);
        mSoundRequests += bad ? 0 : 1;
        if (answer instanceof EngineAnswer.Granted granted) {
            begin(granted);
        }
    }

    private void begin(EngineAnswer.Granted granted) {
        BackendServerId engine = granted.plan().decode().id();
        EngineRequest request = granted.request();
        mRuns.add(new Run(request, engine, mNowNanos + FIRST_EVENT_NANOS, Step.FIRST_EVENT));
        if (request.promptParts().contains(BAD)) {
            mBadGrantNanos.add(mNowNanos);
            mRuns.add(new Run(request, engine, mNowNanos + CRASH_NANOS, Step.CRASH));
        } else {
            mRuns.add(new Run(request, engine, mNowNanos + RUN_NANOS, Step.END));
        }
    }

    private void runUntil(long nanos) {
        while (!mRuns.isEmpty() && mRuns.peek().atNanos() <= nanos) {
            Run run = mRuns.remove();
            mNowNanos = run.atNanos();
            switch (run.step()) {
                case FIRST_EVENT ->
                        mScheduler.recordFirstEvent(
                                run.request().request(), FIRST_EVENT_NANOS, mNowNanos);
                case CRASH -> crash(run);
                case END -> {
                    mScheduler.complete(run.request().request(), RUN_NANOS, mNowNanos);
                    mSoundServed++;
                }
            }
            dispatch();
        }
        mNowNanos = nanos;
    }

    private void dispatch() {
        mScheduler.dispatch(mNowNanos).stream()
                .filter(EngineAnswer.Granted.class::isInstance)
                .map(EngineAnswer.Granted.class::cast)
                .forEach(this::begin);
    }

    private void crash(Run cause) {
        BackendServerId engine = cause.engine();
        mCrashNanos.add(mNowNanos);
        mDownUntilNanos.put(engine, mNowNanos + RESTART_NANOS);
        List<Run> broken = mRuns.stream().filter(r -> r.engine().equals(engine)).toList();
        mRuns.removeAll(broken);
        Stream.concat(Stream.of(cause), broken.stream())
                .map(run -> run.request().request())
                .distinct()
                .forEach(request -> mScheduler.breakOff(request, mNowNanos));
    }

    private void play(double requestsPerSecond, double badShare) {
        for (int i = 0; mNowNanos < END_NANOS; i++) {
            long gapNanos = (long) (-Math.log(1 - mRandom.nextDouble()) / requestsPerSecond * 1e9);
            runUntil(mNowNanos + gapNanos);
            boolean bad = mNowNanos > BAD_FROM_NANOS && mRandom.nextDouble() < badShare;
            submit("r" + i, bad);
        }
    }

    @Property(seed = "53", tries = 40)
    void fewRequestsWithAPartThatCrashesEnginesReachThem(
            @ForAll @IntRange(max = 10_000) int seed,
            @ForAll @IntRange(min = 6, max = 74) int engines,
            @ForAll @DoubleRange(min = 0.02, max = 0.4) double badShare) {
        CrashingPromptTest fleet = new CrashingPromptTest();
        fleet.start(engines, seed);
        fleet.play(engines, badShare);
        assertThat(fleet.lateBadGrants()).isLessThanOrEqualTo(MAX_LATE_REQUESTS);
        assertThat(fleet.mSoundServed).isGreaterThan((int) (0.8 * fleet.mSoundRequests));
    }

    private long lateBadGrants() {
        if (mCrashNanos.size() < MAX_CRASHES) {
            return 0;
        }
        long fromNanos = mCrashNanos.get(MAX_CRASHES - 1) + MAX_DELAY_NANOS;
        return mBadGrantNanos.stream().filter(nanos -> nanos > fromNanos).count();
    }

    private void serveSoundRequests() {
        for (int i = 0; i < 5; i++) {
            submit("sound" + i, false);
            runUntil(mNowNanos + SECOND);
        }
        runUntil(mNowNanos + RUN_NANOS);
    }

    /** Requests that wait for engines while others crash them. */
    @Example
    void aQueuedRequestIsRefusedOnceItsPromptIsKnownToCrashEngines() {
        start(2, 1);
        serveSoundRequests();
        List<RequestId> running = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            List<PromptPartId> parts = List.of(BAD, new PromptPartId("own" + i));
            running.add(new RequestId("running" + i));
            assertThat(mScheduler.submit(request("running" + i, parts, 20_000), mNowNanos))
                    .isInstanceOf(EngineAnswer.Granted.class);
        }
        EngineRequest queued = request("queued", List.of(BAD, new PromptPartId("own")), 30_000);
        assertThat(mScheduler.submit(queued, mNowNanos)).isInstanceOf(EngineAnswer.Waiting.class);
        running.forEach(id -> mScheduler.breakOff(id, mNowNanos));
        assertThat(mScheduler.dispatch(mNowNanos))
                .singleElement()
                .isInstanceOfSatisfying(
                        EngineAnswer.Refused.class,
                        refused -> {
                            assertThat(refused.request()).isEqualTo(queued);
                            assertThat(refused.retryMillis()).isPositive();
                        });
        assertThat(mScheduler.isIdle()).isTrue();
    }

    @Example
    void aStreamThatRanForAWhileIsNotTakenAsTheCause() {
        start(6, 1);
        serveSoundRequests();
        List<PromptPartId> parts = List.of(new PromptPartId("rare"), new PromptPartId("own"));
        for (int i = 0; i < 4; i++) {
            RequestId id = new RequestId("long" + i);
            mScheduler.submit(request(id.value(), parts, 4_000), mNowNanos);
            mScheduler.recordFirstEvent(id, 0, mNowNanos);
            mNowNanos += SECOND;
            mScheduler.breakOff(id, mNowNanos);
        }
        assertThat(mScheduler.submit(request("next", parts, 4_000), mNowNanos))
                .isInstanceOf(EngineAnswer.Granted.class);
    }
}
