package org.fuchsiaford.selection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.stream.ServedVersions;

/**
 * Replays a load of model requests against one or more engine schedulers in virtual time, with
 * engines that read prompts one after another and hold KV cache for the length of the run.
 */
final class EngineReplay {
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final EngineCapacity CAPACITY = new EngineCapacity(32, 46_605, 500);
    private static final int DECODE_ENGINES = 40;
    private static final int PREFILL_ENGINES = 23;
    private static final double PREFILL_TOKENS_PER_MILLI = 55.6;
    private static final double DECODE_TOKENS_PER_MILLI = PREFILL_TOKENS_PER_MILLI / 2;
    private static final long TRANSFER_NANOS = 20 * MILLI;
    private static final long RUN_NANOS = 1_850 * MILLI;
    private static final long DISPATCH_NANOS = 50 * MILLI;
    private static final long POLL_NANOS = 250 * MILLI;
    private static final int MAX_RETRIES = 2;

    private final List<EngineScheduler> mSchedulers = new ArrayList<>();
    private final List<LoadTracker> mLoads = new ArrayList<>();
    private final List<EngineQueues> mQueues = new ArrayList<>();
    private final List<Long> mOthersOnTimeTokens = new ArrayList<>();
    private final List<List<ServerLoad>> mRemoteLoads = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
    private final Map<RequestId, Attempt> mAttempts = new HashMap<>();
    private final Set<RequestId> mWaiting = new HashSet<>();
    private final Map<BackendServerId, Long> mReadingUntilNanos = new HashMap<>();
    private final Map<BackendServerId, Long> mHeldTokens = new HashMap<>();
    private final Random mRandom;
    private final Asked mSchedulerOfHost;
    private final boolean mCallersReturn;

    /** Which scheduler a host asks at a time. */
    interface Asked {
        int applyAsInt(int host, long nowNanos);
    }

    private record Event(long atNanos, Runnable action) {}

    private record Attempt(LoadRequest request, EngineRequest asked, int scheduler) {}

    /**
     * Creates a replay.
     *
     * @param schedulers the number of schedulers; each learns of the grants of the others after a
     *     heartbeat interval
     * @param schedulerOfHost the scheduler that a host asks
     * @param callersReturn whether callers ask again after a refusal, until their deadline
     */
    EngineReplay(int schedulers, Asked schedulerOfHost, boolean callersReturn, long seed) {
        mSchedulerOfHost = schedulerOfHost;
        mRandom = new Random(seed);
        mCallersReturn = callersReturn;
        List<LiveServer> engines =
                IntStream.range(0, DECODE_ENGINES + PREFILL_ENGINES)
                        .mapToObj(
                                i ->
                                        TestServers.engine(
                                                "e" + i,
                                                i < PREFILL_ENGINES
                                                        ? EngineStage.PREFILL
                                                        : EngineStage.DECODE))
                        .toList();
        IntStream.range(0, schedulers).forEach(i -> addScheduler(engines));
    }

    private void addScheduler(List<LiveServer> engines) {
        EnginePool pool =
                new EnginePool() {
                    @Override
                    public List<LiveServer> usable(ServiceId service, long nowNanos) {
                        return engines;
                    }

                    @Override
                    public EngineCapacity capacity(ServiceId service) {
                        return CAPACITY;
                    }
                };
        int index = mSchedulers.size();
        EngineQueues queues = new EngineQueues();
        LoadTracker loads = new LoadTracker();
        mQueues.add(queues);
        mOthersOnTimeTokens.add(0L);
        mLoads.add(loads);
        mRemoteLoads.add(List.of());
        mSchedulers.add(
                new EngineScheduler(
                        new HostId("coordinator" + mSchedulers.size()),
                        pool,
                        loads,
                        new EnginePlanner(loads, new ServerHealth(), mRandom::nextDouble),
                        queues,
                        service -> mOthersOnTimeTokens.get(index),
                        new PromptQuarantine(),
                        new ServedVersions(),
                        new ServerRateLimiter(new ServerLimits(), () -> 1),
                        mRandom::nextDouble));
    }

    /** Returns the tokens that all engines can hold and free within a second. */
    static double capacityTokensPerSecond() {
        return DECODE_ENGINES
                * CAPACITY.kvCacheTokens()
                / ((double) (RUN_NANOS + 250 * MILLI) / SECOND);
    }

    /** Plays a load to its end; afterwards each request knows whether it was served in time. */
    void play(List<LoadRequest> load) {
        load.forEach(
                request -> at(request.arrivedNanos(), () -> ask(request, request.arrivedNanos())));
        long endNanos = load.stream().mapToLong(LoadRequest::arrivedNanos).max().orElse(0);
        long lastNanos = endNanos + 16 * SECOND;
        for (long t = SECOND; t < lastNanos; t += DISPATCH_NANOS) {
            long nowNanos = t;
            at(t, () -> tick(nowNanos));
        }
        while (!mEvents.isEmpty()) {
            mEvents.remove().action().run();
        }
    }

    private void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, action));
    }

    private void tick(long nowNanos) {
        if (nowNanos / DISPATCH_NANOS % (POLL_NANOS / DISPATCH_NANOS) == 0) {
            List.copyOf(mWaiting).forEach(id -> poll(id, nowNanos));
        }
        if (mSchedulers.size() > 1 && nowNanos / DISPATCH_NANOS % 10 == 0) {
            exchangeLoads();
            exchangeQueuedWork(nowNanos);
        }
        IntStream.range(0, mSchedulers.size()).forEach(i -> dispatch(i, nowNanos));
    }

    private void poll(RequestId id, long nowNanos) {
        Attempt attempt = mAttempts.get(id);
        mSchedulers.get(attempt.scheduler()).poll(attempt.asked().host(), id, nowNanos);
    }

    /** Each scheduler learns what the others have granted until now. */
    private void exchangeLoads() {
        List<List<ServerLoad>> granted =
                IntStream.range(0, mLoads.size()).mapToObj(this::grantedBy).toList();
        for (int i = 0; i < mLoads.size(); i++) {
            int own = i;
            mRemoteLoads.set(
                    i,
                    IntStream.range(0, granted.size())
                            .filter(other -> other != own)
                            .mapToObj(granted::get)
                            .flatMap(List::stream)
                            .toList());
            mLoads.get(i).replaceRemoteLoads(mRemoteLoads.get(i));
        }
    }

    private void exchangeQueuedWork(long nowNanos) {
        List<Long> tokens =
                mQueues.stream()
                        .map(queues -> queues.of(TestServers.SERVICE).onTimeTokens(nowNanos))
                        .toList();
        long total = tokens.stream().mapToLong(t -> t).sum();
        IntStream.range(0, tokens.size())
                .forEach(i -> mOthersOnTimeTokens.set(i, total - tokens.get(i)));
    }

    private List<ServerLoad> grantedBy(int scheduler) {
        LoadTracker granted = new LoadTracker();
        mLoads.get(scheduler).totals().forEach(granted::add);
        mRemoteLoads.get(scheduler).forEach(granted::remove);
        return granted.localLoads();
    }

    private void ask(LoadRequest request, long nowNanos) {
        ask(request, request.toEngineRequest(nowNanos), nowNanos);
    }

    private void ask(LoadRequest request, EngineRequest asked, long nowNanos) {
        int scheduler = mSchedulerOfHost.applyAsInt(request.host(), nowNanos);
        mAttempts.put(asked.request(), new Attempt(request, asked, scheduler));
        handle(mSchedulers.get(scheduler).submit(asked, nowNanos), asked.request(), nowNanos);
    }

    private void dispatch(int scheduler, long nowNanos) {
        for (EngineAnswer answer : mSchedulers.get(scheduler).dispatch(nowNanos)) {
            handle(answer, null, nowNanos);
        }
    }

    private void handle(EngineAnswer answer, RequestId waiting, long nowNanos) {
        if (answer instanceof EngineAnswer.Granted granted) {
            mWaiting.remove(granted.request().request());
            start(granted, nowNanos);
        } else if (answer instanceof EngineAnswer.Refused refused) {
            mWaiting.remove(refused.request().request());
            comeBack(refused, nowNanos);
        } else {
            mWaiting.add(waiting);
        }
    }

    private void comeBack(EngineAnswer.Refused refused, long nowNanos) {
        Attempt attempt = mAttempts.remove(refused.request().request());
        long backNanos = nowNanos + refused.retryMillis() * MILLI;
        if (mCallersReturn && attempt.request().returnAt(backNanos)) {
            at(backNanos, () -> ask(attempt.request(), backNanos));
        }
    }

    private void start(EngineAnswer.Granted granted, long nowNanos) {
        RequestId id = granted.request().request();
        Attempt attempt = mAttempts.get(id);
        EngineScheduler scheduler = mSchedulers.get(attempt.scheduler());
        BackendServerId decode = granted.plan().decode().id();
        long tokens = granted.request().tokens().plannedKvTokens();
        if (mHeldTokens.merge(decode, tokens, Long::sum) > CAPACITY.kvCacheTokens()) {
            mHeldTokens.merge(decode, -tokens, Long::sum);
            scheduler.release(id);
            mAttempts.remove(id);
            placeAgain(attempt, decode, nowNanos);
            return;
        }
        Optional<BackendServerId> prefill = granted.plan().prefill().map(LiveServer::id);
        long promptTokens = granted.request().tokens().promptTokens();
        double speed = prefill.isPresent() ? PREFILL_TOKENS_PER_MILLI : DECODE_TOKENS_PER_MILLI;
        long readNanos = (long) (promptTokens / speed * MILLI);
        BackendServerId reader = prefill.orElse(decode);
        long beginNanos = Math.max(nowNanos, mReadingUntilNanos.getOrDefault(reader, 0L));
        long readEndNanos = beginNanos + readNanos;
        mReadingUntilNanos.put(reader, readEndNanos);
        if (prefill.isPresent()) {
            at(readEndNanos, () -> scheduler.recordPrefill(id, readEndNanos - nowNanos));
        }
        long firstNanos = readEndNanos + (prefill.isPresent() ? TRANSFER_NANOS : 0);
        at(firstNanos, () -> scheduler.recordFirstEvent(id, firstNanos - nowNanos, firstNanos));
        attempt.request().recordFirstEvent(firstNanos);

        long endNanos = firstNanos + (long) (RUN_NANOS * (0.7 + 0.6 * mRandom.nextDouble()));
        at(endNanos, () -> end(id, decode, tokens, endNanos - nowNanos, endNanos));
    }

    /** An engine without room has not run the request, which is placed again. */
    private void placeAgain(Attempt attempt, BackendServerId full, long nowNanos) {
        if (attempt.asked().failed().size() < MAX_RETRIES) {
            Set<BackendServerId> failed = new HashSet<>(attempt.asked().failed());
            failed.add(full);
            ask(attempt.request(), attempt.request().again(attempt.asked(), failed), nowNanos);
        }
    }

    private void end(
            RequestId id, BackendServerId engine, long tokens, long durationNanos, long nowNanos) {
        mHeldTokens.merge(engine, -tokens, Long::sum);
        int scheduler = mAttempts.remove(id).scheduler();
        mSchedulers.get(scheduler).complete(id, durationNanos, nowNanos);
        dispatch(scheduler, nowNanos);
    }
}
