package org.fuchsiaford.order;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.selection.EngineAnswer;
import org.fuchsiaford.selection.EngineLoadSample;
import org.fuchsiaford.selection.EnginePlan;
import org.fuchsiaford.selection.EnginePlanner;
import org.fuchsiaford.selection.EnginePool;
import org.fuchsiaford.selection.EngineQueues;
import org.fuchsiaford.selection.EngineRequest;
import org.fuchsiaford.selection.EngineScheduler;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.RequestAttributes;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.selection.StreamPace;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.stream.ServedVersions;

/**
 * Replays a load on engines in virtual time: the scheduler and the stage policy are those of a
 * host, prefill engines read one prompt after the other, and decode engines read a chunk before
 * each decode step of their streams. Times are in milliseconds.
 */
final class StagedEngineReplay {
    static final int EVENTS = 66;
    static final double FIRST_EVENT_TARGET = 909;
    static final double GAP_TARGET = 300;
    private static final int EVENT_TOKENS = 7;
    private static final double STEP = 6.45;
    private static final int CHUNK_TOKENS = 1_024;
    private static final double DECODE_READ_SPEED = 27.8;
    private static final double PREFILL_READ_SPEED = 55.6;
    private static final long RECONFIGURE = 6_000;
    private static final int DOMAINS = 3;
    private static final double TICK = 1;
    private static final double DISPATCH_INTERVAL = 50;
    private static final double ROUND_INTERVAL = 1_000;
    private static final double NANOS = 1e6;

    /** The KV cache of a token and the link move 10,000 tokens in 40 ms. */
    private static final EngineCapacity CAPACITY =
            new EngineCapacity(64, 44_783, 500, EVENT_TOKENS, 50_000, 100_000, RECONFIGURE);

    /**
     * What becomes of the streams.
     *
     * @param inTime those whose first event came in time and that made no pause over the target
     * @param paused those whose first event came in time, but that made a longer pause
     * @param orders the orders that engines got
     * @param prefillEngines the prefill engines at the end
     */
    record Result(int asked, int inTime, int paused, List<Order> orders, int prefillEngines) {}

    /** The stage that an engine was ordered to change to, and when. */
    record Order(EngineStage stage, double time) {}

    private static final class Stream {
        private final EngineRequest mRequest;
        private final double mArrived;
        private EnginePlan mPlan;
        private long mUnreadTokens;
        private int mTokens;
        private double mFirstEvent;
        private double mLastEvent;
        private double mLongestGap;

        Stream(EngineRequest request, double arrived) {
            mRequest = request;
            mArrived = arrived;
            mUnreadTokens = request.tokens().promptTokens();
        }
    }

    private static final class Engine {
        private LiveServer mServer;
        private final Deque<Stream> mReading = new ArrayDeque<>();
        private final List<Stream> mRunning = new ArrayList<>();
        private List<Stream> mStepping = List.of();
        private boolean mBusy;
        private double mUnitStart;
        private double mUnitEnd;
        private EngineStage mOrdered;
        private double mChangeEnd = Double.POSITIVE_INFINITY;

        Engine(LiveServer server) {
            mServer = server;
        }
    }

    private record Transfer(Stream stream, double end) {}

    /** Draws the length of the prompt of a request that arrives at a time. */
    interface PromptLengths {
        /** Returns a length in tokens. */
        long draw(Random random, double time);
    }

    private final Random mArrivals;
    private final Random mRandom;
    private final DoubleUnaryOperator mArrivalsPerSecond;
    private final PromptLengths mPromptTokens;
    private final long mPlacementGapTarget;
    private final Optional<StageSplitPolicy> mPolicy;
    private final Map<BackendServerId, Engine> mEngines = new LinkedHashMap<>();
    private final Map<RequestId, Stream> mStreams = new LinkedHashMap<>();
    private final PriorityQueue<Transfer> mTransfers =
            new PriorityQueue<>(Comparator.comparingDouble(Transfer::end));
    private final LoadTracker mLoads = new LoadTracker();
    private final PendingOrders mPending = new PendingOrders(mLoads, () -> {});
    private final EngineScheduler mScheduler;
    private final List<Order> mOrders = new ArrayList<>();
    private double mNow;
    private int mAsked;
    private int mInTime;
    private int mPaused;

    /**
     * Creates a replay.
     *
     * @param arrivalsPerSecond the requests a second, by time
     * @param promptTokens draws the length of a prompt
     * @param placementGapTarget the gap target that the scheduler is told; zero to place requests
     *     without regard to pauses
     * @param policy what orders engines; empty to keep their stages
     */
    StagedEngineReplay(
            long seed,
            int engines,
            int prefillEngines,
            DoubleUnaryOperator arrivalsPerSecond,
            PromptLengths promptTokens,
            double placementGapTarget,
            Optional<StageSplitPolicy> policy) {
        mArrivals = new Random(seed);
        mRandom = new Random(seed + 1);
        mPlacementGapTarget = (long) placementGapTarget;
        mArrivalsPerSecond = arrivalsPerSecond;
        mPromptTokens = promptTokens;
        mPolicy = policy;
        IntStream.range(0, engines)
                .mapToObj(i -> server(i, i < prefillEngines))
                .forEach(server -> mEngines.put(server.id(), new Engine(server)));
        mScheduler =
                new EngineScheduler(
                        new HostId("h"),
                        pool(),
                        mLoads,
                        new EnginePlanner(mLoads, new ServerHealth(), mRandom::nextDouble),
                        new EngineQueues(),
                        service -> 0,
                        new PromptQuarantine(),
                        new ServedVersions(),
                        new ServerRateLimiter(new ServerLimits(), () -> 1),
                        mRandom::nextDouble);
    }

    private static LiveServer server(int index, boolean prefill) {
        EngineStage stage = prefill ? EngineStage.PREFILL : EngineStage.DECODE;
        String domain = "z" + index % DOMAINS;
        return TestServers.server(
                String.format("e%02d", index), domain, Optional.of(stage), false, 1);
    }

    private EnginePool pool() {
        return new EnginePool() {
            @Override
            public List<LiveServer> usable(ServiceId service, long nowNanos) {
                return servers();
            }

            @Override
            public EngineCapacity capacity(ServiceId service) {
                return CAPACITY;
            }
        };
    }

    private List<LiveServer> servers() {
        return mEngines.values().stream().map(e -> e.mServer).toList();
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS);
    }

    /** Replays the load; requests are counted if they arrive in time to be complete. */
    Result run(double duration) {
        double lastCounted = duration - 14_000;
        double nextArrival = 0;
        for (double now = 0; now < duration; now += TICK) {
            while (nextArrival <= now) {
                arrive(now, now < lastCounted);
                double gap = -Math.log(1 - mArrivals.nextDouble());
                nextArrival += gap * 1_000 / mArrivalsPerSecond.applyAsDouble(now);
            }
            while (!mTransfers.isEmpty() && mTransfers.peek().end() <= now) {
                Stream stream = mTransfers.remove().stream();
                decodeEngine(stream).mRunning.add(stream);
            }
            for (Engine engine : mEngines.values()) {
                advance(engine, now);
            }
            if (now % DISPATCH_INTERVAL == 0) {
                dispatch(now);
            }
            if (now % ROUND_INTERVAL == 0) {
                order(now);
            }
        }
        mNow = duration;
        return new Result(mAsked, mInTime, mPaused, List.copyOf(mOrders), prefillEngines());
    }

    private void arrive(double now, boolean counted) {
        mAsked += counted ? 1 : 0;
        RequestId id = new RequestId((counted ? "r" : "uncounted") + mStreams.size() + "-" + now);
        EngineRequest request =
                new EngineRequest(
                        new HostId("h"),
                        new FailureDomainId("z" + mArrivals.nextInt(DOMAINS)),
                        id,
                        TestServers.SERVICE,
                        new TokenCounts(
                                mPromptTokens.draw(mArrivals, now),
                                EVENTS * EVENT_TOKENS,
                                EVENTS * EVENT_TOKENS),
                        List.of(),
                        1,
                        Set.of(),
                        Optional.empty(),
                        (long) FIRST_EVENT_TARGET,
                        nanos(now),
                        nanos(now + 4 * FIRST_EVENT_TARGET),
                        nanos(now + 14_000),
                        new RequestAttributes("route", null, mPlacementGapTarget, List.of()));
        mStreams.put(id, new Stream(request, now));
        answer(mScheduler.submit(request, nanos(now)));
    }

    private void dispatch(double now) {
        mScheduler.dispatch(nanos(now)).forEach(this::answer);
    }

    private void answer(EngineAnswer answer) {
        if (answer instanceof EngineAnswer.Granted granted) {
            Stream stream = mStreams.get(granted.request().request());
            stream.mPlan = granted.plan();
            LiveServer reader = granted.plan().prefill().orElse(granted.plan().decode());
            mEngines.get(reader.id()).mReading.add(stream);
        } else if (answer instanceof EngineAnswer.Refused refused) {
            mStreams.remove(refused.request().request());
        }
    }

    private Engine decodeEngine(Stream stream) {
        return mEngines.get(stream.mPlan.decode().id());
    }

    private void advance(Engine engine, double now) {
        while (engine.mBusy && engine.mUnitEnd <= now) {
            engine.mBusy = false;
            endUnit(engine, engine.mUnitEnd);
            startUnit(engine, engine.mUnitEnd);
        }
        if (!engine.mBusy) {
            startUnit(engine, now);
        }
        boolean isIdle = engine.mReading.isEmpty() && engine.mRunning.isEmpty();
        if (engine.mOrdered != null && isIdle && expectsNoStream(engine)) {
            engine.mChangeEnd = Math.min(engine.mChangeEnd, now + RECONFIGURE);
            if (now >= engine.mChangeEnd) {
                change(engine);
            }
        }
    }

    private boolean expectsNoStream(Engine engine) {
        return mStreams.values().stream()
                .noneMatch(s -> s.mPlan != null && decodeEngine(s) == engine);
    }

    private void change(Engine engine) {
        LiveServer old = engine.mServer;
        engine.mServer =
                TestServers.server(
                        old.id().value(),
                        old.failureDomain().value(),
                        Optional.of(engine.mOrdered),
                        false,
                        1);
        engine.mOrdered = null;
        engine.mChangeEnd = Double.POSITIVE_INFINITY;
    }

    /** A unit of work is a prompt at a prefill engine, a chunk and a step at a decode engine. */
    private void startUnit(Engine engine, double start) {
        if (engine.mReading.isEmpty() && engine.mRunning.isEmpty()) {
            return;
        }
        engine.mBusy = true;
        engine.mUnitStart = start;
        if (engine.mServer.hasStage(EngineStage.PREFILL)) {
            engine.mUnitEnd = start + engine.mReading.peek().mUnreadTokens / PREFILL_READ_SPEED;
            return;
        }
        engine.mStepping = List.copyOf(engine.mRunning);
        double chunk =
                engine.mReading.isEmpty()
                        ? 0
                        : Math.min(CHUNK_TOKENS, engine.mReading.peek().mUnreadTokens);
        double step = engine.mStepping.isEmpty() ? 0 : STEP;
        engine.mUnitEnd = start + chunk / DECODE_READ_SPEED + step;
    }

    private void endUnit(Engine engine, double now) {
        if (engine.mServer.hasStage(EngineStage.PREFILL)) {
            Stream read = engine.mReading.remove();
            LiveServer decode = read.mPlan.decode();
            mScheduler.recordPrefill(read.mRequest.request(), nanos(now - engine.mUnitStart));
            boolean sameDomain = decode.failureDomain().equals(engine.mServer.failureDomain());
            long tokens = read.mRequest.tokens().promptTokens();
            mTransfers.add(new Transfer(read, now + CAPACITY.transferMillis(tokens, sameDomain)));
            return;
        }
        engine.mStepping.forEach(stream -> step(engine, stream, now));
        Stream reading = engine.mReading.peek();
        if (reading != null) {
            reading.mUnreadTokens -= Math.min(CHUNK_TOKENS, reading.mUnreadTokens);
            if (reading.mUnreadTokens == 0) {
                engine.mRunning.add(engine.mReading.remove());
            }
        }
    }

    private void step(Engine engine, Stream stream, double now) {
        stream.mTokens++;
        if (stream.mTokens % EVENT_TOKENS != 0) {
            return;
        }
        RequestId id = stream.mRequest.request();
        if (stream.mTokens == EVENT_TOKENS) {
            stream.mFirstEvent = now;
            mScheduler.recordFirstEvent(id, nanos(now - stream.mArrived), nanos(now));
        } else {
            stream.mLongestGap = Math.max(stream.mLongestGap, now - stream.mLastEvent);
        }
        stream.mLastEvent = now;
        if (stream.mTokens == EVENTS * EVENT_TOKENS) {
            engine.mRunning.remove(stream);
            end(stream, now);
        }
    }

    private void end(Stream stream, double now) {
        RequestId id = stream.mRequest.request();
        mStreams.remove(id);
        double gap = (now - stream.mFirstEvent) / (EVENTS - 1);
        StreamPace pace = new StreamPace(nanos(gap), nanos(stream.mLongestGap));
        mScheduler.recordPace(id, pace, nanos(now));
        mScheduler.complete(id, nanos(now - stream.mArrived), nanos(now));
        dispatch(now);
        boolean onTime = stream.mFirstEvent - stream.mArrived <= FIRST_EVENT_TARGET;
        if (onTime && id.value().startsWith("r")) {
            boolean paused = stream.mLongestGap > GAP_TARGET;
            mPaused += paused ? 1 : 0;
            mInTime += paused ? 0 : 1;
        }
    }

    private void order(double now) {
        if (mPolicy.isEmpty()) {
            return;
        }
        mPending.refresh(servers(), nanos(now));
        mPolicy.get()
                .next(
                        servers(),
                        mPending.engines(),
                        CAPACITY,
                        mScheduler.demand().sample(TestServers.SERVICE, nanos(now)),
                        mScheduler.prefillTokensPerMilli(TestServers.SERVICE),
                        nanos(now))
                .ifPresent(choice -> send(choice.order(), now));
    }

    private void send(StageOrder order, double now) {
        mPending.add(order, nanos(now + 21_000));
        mPending.recordAccepted(order, CAPACITY);
        mEngines.get(order.engine().id()).mOrdered = order.stage();
        mOrders.add(new Order(order.stage(), now));
    }

    /** Returns the number of prefill engines that the measured load calls for. */
    int wantedPrefillEngines() {
        EngineLoadSample load =
                mScheduler.demand().sample(TestServers.SERVICE, nanos(mNow)).orElseThrow();
        int prefill = prefillEngines();
        int decode = mEngines.size() - prefill;
        double speed = mScheduler.prefillTokensPerMilli(TestServers.SERVICE);
        StageCapacity capacity = new StageCapacity(load, CAPACITY, speed, decode);
        return StageSplitPolicy.best(capacity, prefill, mEngines.size());
    }

    private int prefillEngines() {
        return (int) servers().stream().filter(s -> s.hasStage(EngineStage.PREFILL)).count();
    }

    /** Returns the prefill engines of each failure domain. */
    Map<String, Long> prefillEnginesByDomain() {
        return servers().stream()
                .filter(server -> server.hasStage(EngineStage.PREFILL))
                .collect(
                        Collectors.groupingBy(
                                s -> s.failureDomain().value(), Collectors.counting()));
    }
}
