package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;

/**
 * Selects the engines for a model request: first a decode engine with enough free KV cache, then
 * either that engine or a prefill engine to prefill the prompt. Engines of different software
 * versions do not share KV cache.
 *
 * <p>Prefill on a decode engine slows that engine's streams but saves a KV cache transfer. It is
 * chosen while little of the engine's KV cache is in use and the first event is expected well
 * within its target. During bursts, decode engines run out of KV cache. Every prompt prefilled
 * there then lengthens all streams of the engine, and with them the time for which they hold KV
 * cache, so prefill engines are preferred as long as they meet the target.
 *
 * <p>Where the declaration tells how many tokens an event has, a decode engine that runs streams
 * reads a prompt only if {@link StreamPauses} finds none that it makes late; otherwise a prefill
 * engine reads it. If none can be reached, the decode engine reads it that makes the fewest late.
 * The choice then also counts the time for which running streams hold KV cache longer.
 *
 * <p>After a loss of engines, prompts can arrive faster than the remaining engines prefill them. An
 * engine with too large a backlog is not selected, so that requests wait at the hosts, where those
 * that can still meet their target go first, and not at an engine.
 *
 * <p>Invariant: a decode engine that runs any request is selected only if it has a free seat and KV
 * cache for prompt and answer. Thread-safe.
 */
public final class EnginePlanner {
    /** Fraction of the first-event target that prefill on the decode engine may take. */
    private static final double DECODE_PREFILL_TARGET_FRACTION = 0.35;

    /** Fraction of an engine's KV cache in use above which it counts as busy. */
    private static final double BUSY_KV_CACHE_FRACTION = 0.5;

    /** Fraction of the target within which a prefill engine must finish to be preferred. */
    private static final double PREFILL_TARGET_FRACTION = 0.6;

    /**
     * Failure rate of a decode engine above which no prefill engine is used for it: if it fails
     * again, the separate prefill is lost.
     */
    private static final double UNRELIABLE_FAILURE_RATE = 0.15;

    /**
     * Fraction of the target that prompts already queued at an engine may take; as much again is
     * left for the wait at the host and for the request's own prompt.
     */
    private static final double BACKLOG_TARGET_FRACTION = 0.35;

    /** Prefill time on a decode engine relative to a prefill engine. */
    private static final double DECODE_PREFILL_SLOWDOWN = 2;

    /** Cost of the additional call and the KV cache transfer, in prompt tokens. */
    private static final long TRANSFER_COST_TOKENS = 1_500;

    /**
     * Prefill speed in prompt tokens per millisecond until one is observed, as of the slower engine
     * models.
     */
    private static final double INITIAL_TOKENS_PER_MILLI = 40;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double SPEED_SMOOTHING_FACTOR = 0.2;
    private static final double FAILURE_PENALTY = 2;
    private static final double JITTER = 0.02;

    private final LoadTracker mLoads;
    private final ServerHealth mHealth;
    private final ServerRanking mRanking;
    private final StreamPauses mPauses = new StreamPauses();
    private final Map<ServiceId, Double> mTokensPerMilli = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param random source of uniformly distributed numbers in [0, 1)
     */
    public EnginePlanner(LoadTracker loads, ServerHealth health, DoubleSupplier random) {
        mLoads = loads;
        mHealth = health;
        mRanking = new ServerRanking(health, random, FAILURE_PENALTY, JITTER);
    }

    /**
     * Updates the prefill speed of a service from a prompt that a prefill engine processed while no
     * other prompt waited there.
     */
    public synchronized void observePrefill(ServiceId service, long tokens, long durationNanos) {
        double speed = tokens * NANOS_PER_MILLI / Math.max(1, durationNanos);
        double last = tokensPerMilli(service);
        mTokensPerMilli.put(service, last + (speed - last) * SPEED_SMOOTHING_FACTOR);
    }

    /** Returns the prefill speed of a service in prompt tokens per millisecond. */
    synchronized double tokensPerMilli(ServiceId service) {
        return mTokensPerMilli.getOrDefault(service, INITIAL_TOKENS_PER_MILLI);
    }

    /** Returns the pauses of the streams at the decode engines. */
    StreamPauses pauses() {
        return mPauses;
    }

    /** Returns whether a prompt has to be read apart from running streams like its own. */
    boolean mustReadApart(EngineRequest request, EngineCapacity capacity) {
        double readNanos = decodeReadNanos(request.service(), request.tokens().promptTokens());
        return mPauses.makesLate(request, capacity, readNanos);
    }

    /**
     * Returns whether no engine can read a prompt until its caller stops waiting for the first
     * event; false until the speed of the engines has been observed.
     */
    synchronized boolean isTooLong(EngineRequest request, long nowNanos) {
        Double speed = mTokensPerMilli.get(request.service());
        return speed != null
                && request.tokens().promptTokens() / speed * NANOS_PER_MILLI
                        > request.eventDeadlineNanos() - nowNanos;
    }

    private double decodeReadNanos(ServiceId service, long tokens) {
        return tokens * DECODE_PREFILL_SLOWDOWN / tokensPerMilli(service) * NANOS_PER_MILLI;
    }

    private double pauseNanos(LiveServer decode, EngineRequest request, EngineCapacity capacity) {
        long tokens = mLoads.total(decode.id()).unreadTokens() + request.tokens().promptTokens();
        return mPauses.pauseNanos(
                request.service(), capacity, decodeReadNanos(request.service(), tokens));
    }

    /** Returns how many streams are late if a decode engine reads the prompt of a request. */
    private int lateStreams(LiveServer decode, EngineRequest request, EngineCapacity capacity) {
        if (capacity.eventTokens() <= 0) {
            return 0;
        }
        return mPauses.lateStreams(
                decode.id(),
                mLoads.total(decode.id()).requests(),
                request,
                pauseNanos(decode, request, capacity));
    }

    private int lateStreams(EnginePlan plan, EngineRequest request, EngineCapacity capacity) {
        if (plan.prefill().isEmpty()) {
            return lateStreams(plan.decode(), request, capacity);
        }
        return isPausedAtStart(plan.decode(), request, capacity) ? 1 : 0;
    }

    /**
     * Returns whether a stream is late because of the prompts that its decode engine still reads
     * when its own prompt has been read at a prefill engine.
     */
    private boolean isPausedAtStart(
            LiveServer decode, EngineRequest request, EngineCapacity capacity) {
        long tokens =
                mLoads.total(decode.id()).unreadTokens()
                        - (long) (request.tokens().promptTokens() / DECODE_PREFILL_SLOWDOWN);
        double readNanos = decodeReadNanos(request.service(), Math.max(0, tokens));
        return mPauses.makesLate(request, capacity, readNanos);
    }

    /** Records that the engines of a plan were granted, before their load is counted. */
    void recordGrant(
            EngineRequest request, EnginePlan plan, EngineCapacity capacity, long nowNanos) {
        double pauseNanos = pauseNanos(plan.decode(), request, capacity);
        mPauses.add(request, plan, pauseNanos, nowNanos);
    }

    /** Records how the events of a complete stream followed each other. */
    void observePace(EngineRequest request, StreamPace pace, long nowNanos) {
        double tokensPerNano =
                tokensPerMilli(request.service()) / DECODE_PREFILL_SLOWDOWN / NANOS_PER_MILLI;
        mPauses.observe(request.request(), pace, tokensPerNano, nowNanos);
    }

    /**
     * Selects the engines for a request.
     *
     * @param servers the engines that accept new requests
     * @return the plan, or empty if no decode engine has room or the prefill backlogs are too large
     */
    public Optional<EnginePlan> plan(
            List<LiveServer> servers,
            EngineRequest request,
            EngineCapacity capacity,
            long nowNanos) {
        double maxBacklogMillis = request.targetMillis() * BACKLOG_TARGET_FRACTION;
        Stream<EnginePlan> plans =
                rankedDecodeEngines(servers, request, capacity, nowNanos)
                        .map(
                                decode ->
                                        new EnginePlan(
                                                decode,
                                                selectPrefill(
                                                        servers, request, decode, capacity,
                                                        nowNanos)))
                        .filter(plan -> backlogMillis(plan) <= maxBacklogMillis);
        return capacity.eventTokens() > 0
                ? withFewestLate(plans.iterator(), request, capacity)
                : plans.findFirst();
    }

    /** Returns the first plan that makes no stream late, or else the one that does to fewest. */
    private Optional<EnginePlan> withFewestLate(
            Iterator<EnginePlan> plans, EngineRequest request, EngineCapacity capacity) {
        Optional<EnginePlan> best = Optional.empty();
        int fewest = Integer.MAX_VALUE;
        while (fewest > 0 && plans.hasNext()) {
            EnginePlan plan = plans.next();
            int late = lateStreams(plan, request, capacity);
            if (late < fewest) {
                fewest = late;
                best = Optional.of(plan);
            }
        }
        return best;
    }

    private synchronized double backlogMillis(EnginePlan plan) {
        double tokens =
                plan.prefill()
                        .map(prefill -> (double) mLoads.total(prefill.id()).unreadTokens())
                        .orElseGet(
                                () ->
                                        mLoads.total(plan.decode().id()).unreadTokens()
                                                * DECODE_PREFILL_SLOWDOWN);
        return tokens / tokensPerMilli(plan.decode().service());
    }

    private Stream<LiveServer> rankedDecodeEngines(
            List<LiveServer> servers,
            EngineRequest request,
            EngineCapacity capacity,
            long nowNanos) {
        List<LiveServer> candidates =
                mRanking.preferUnpaused(
                        withStage(servers, EngineStage.DECODE, request.failed()).stream()
                                .filter(server -> isVersion(server, request.version()))
                                .toList(),
                        nowNanos);
        return ServerRanking.sortByScore(
                candidates.stream().filter(server -> hasRoom(server, capacity, request.tokens())),
                server -> decodeScore(server, request.domain(), capacity, nowNanos));
    }

    private static boolean isVersion(LiveServer server, Optional<SoftwareVersion> version) {
        return version.isEmpty() || server.version().equals(version.get());
    }

    private boolean hasRoom(LiveServer server, EngineCapacity capacity, TokenCounts tokens) {
        ServerLoad load = mLoads.total(server.id());
        boolean empty = load.requests() <= 0;
        return empty
                || load.requests() < capacity.maxConcurrentRequests()
                        && load.tokens() + tokens.plannedKvTokens() <= capacity.kvCacheTokens();
    }

    private double decodeScore(
            LiveServer server, FailureDomainId domain, EngineCapacity capacity, long nowNanos) {
        ServerLoad load = mLoads.total(server.id());
        double usedFraction = (double) load.tokens() / Math.max(1, capacity.kvCacheTokens());
        double unreadFraction =
                (double) load.unreadTokens() / Math.max(1, capacity.kvCacheTokens());
        return usedFraction + unreadFraction + mRanking.penalty(server, domain, nowNanos);
    }

    private synchronized Optional<LiveServer> selectPrefill(
            List<LiveServer> servers,
            EngineRequest request,
            LiveServer decode,
            EngineCapacity capacity,
            long nowNanos) {
        long promptTokens = request.tokens().promptTokens();
        long targetMillis = request.targetMillis();
        boolean apart = lateStreams(decode, request, capacity) > 0;
        if (!apart && mHealth.failureRate(decode.id(), nowNanos) > UNRELIABLE_FAILURE_RATE) {
            return Optional.empty();
        }
        ServerLoad load = mLoads.total(decode.id());
        boolean busy = load.tokens() > capacity.kvCacheTokens() * BUSY_KV_CACHE_FRACTION;
        double delayedFraction =
                StreamPauses.areLimited(request, capacity)
                        ? (double) load.tokens() / Math.max(1, capacity.kvCacheTokens())
                        : 0;
        double decodePrefillTokens =
                (load.unreadTokens() + promptTokens)
                        * DECODE_PREFILL_SLOWDOWN
                        * (1 + delayedFraction);
        double speed = tokensPerMilli(decode.service());
        double withinTargetTokens = targetMillis * PREFILL_TARGET_FRACTION * speed;
        double maxPrefillTokens =
                busy ? Math.max(decodePrefillTokens, withinTargetTokens) : decodePrefillTokens;
        if (!apart
                && !busy
                && decodePrefillTokens / speed <= targetMillis * DECODE_PREFILL_TARGET_FRACTION) {
            return Optional.empty();
        }
        FailureDomainId decodeDomain = decode.failureDomain();
        Stream<LiveServer> candidates =
                withStage(servers, EngineStage.PREFILL, request.failed()).stream()
                        .filter(server -> server.version().equals(decode.version()))
                        .filter(server -> !mHealth.isPaused(server.id(), nowNanos));
        ToDoubleFunction<LiveServer> cost =
                server ->
                        prefillCostTokens(server, decodeDomain, nowNanos)
                                + transferTokens(
                                        promptTokens,
                                        capacity,
                                        server.failureDomain().equals(decodeDomain),
                                        speed);
        return ServerRanking.sortByScore(candidates, cost)
                .findFirst()
                .filter(
                        server ->
                                apart
                                        || cost.applyAsDouble(server) + promptTokens
                                                < maxPrefillTokens);
    }

    private double prefillCostTokens(
            LiveServer server, FailureDomainId decodeDomain, long nowNanos) {
        return mLoads.total(server.id()).unreadTokens()
                + mRanking.penalty(server, decodeDomain, nowNanos) * TRANSFER_COST_TOKENS;
    }

    /** The transfer of the KV cache takes longer between failure domains. */
    private static double transferTokens(
            long promptTokens, EngineCapacity capacity, boolean sameDomain, double speed) {
        return TRANSFER_COST_TOKENS + capacity.transferMillis(promptTokens, sameDomain) * speed;
    }

    private static List<LiveServer> withStage(
            List<LiveServer> servers, EngineStage stage, Set<BackendServerId> failed) {
        return servers.stream()
                .filter(server -> server.hasStage(stage) && !failed.contains(server.id()))
                .toList();
    }
}
