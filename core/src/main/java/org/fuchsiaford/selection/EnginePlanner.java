package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;

/**
 * Picks the engines of one model request: first a decode engine with room, then whether it reads
 * the prompt itself or a prefill engine does.
 *
 * <p>A decode engine that reads a prompt slows its own streams but saves a transfer. It does so
 * while it has few streams and the first event would come well within its target. Load pattern of a
 * busy engine: bursts in which memory runs out; each prompt read there keeps all its streams, and
 * so their memory, for longer, hence prefill engines come first as long as they are quick. Load
 * pattern of a backlog of prompts: after a loss of engines more is asked than the others can read.
 * Prompts then wait at the hosts, where those that can be on time go first, and not at an engine.
 * Invariant: a decode engine is planned only with room for prompt and answer. Thread-safe.
 */
public final class EnginePlanner {
    /** Part of the target of the first event that reading at the decode engine may take. */
    private static final double DIRECT_TARGET_SHARE = 0.35;

    /** Part of the memory in use beyond which an engine is busy. */
    private static final double BUSY_SHARE = 0.5;

    /** Part of the target within which a prefill engine must be done to come first. */
    private static final double PREFILL_TARGET_SHARE = 0.6;

    /** An engine that lately failed so often may fail again, and a prompt read for it is lost. */
    private static final double DOUBTFUL_RATE = 0.15;

    /**
     * Part of the target that the prompts ahead at an engine may take; as much again is left for
     * the wait at the host and for the prompt itself.
     */
    private static final double BACKLOG_TARGET_SHARE = 0.35;

    /** A decode engine reads prompts at half the speed. */
    private static final double DIRECT_SLOWNESS = 2;

    /** Prompt tokens that are read in the time of one more call and a transfer. */
    private static final long TRANSFER_TOKENS = 1_500;

    /** Prompt tokens read in a millisecond, until it is measured; of the slower kinds of engine. */
    private static final double FIRST_TOKENS_PER_MILLI = 40;

    private static final double NEWEST_SPEED_WEIGHT = 0.2;
    private static final double FAILURE_COST = 2;
    private static final double JITTER = 0.02;

    private final LoadBoard mLoads;
    private final ServerHealth mHealth;
    private final ServerRanking mRanking;
    private final Map<ServiceId, Double> mTokensPerMilli = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param ownDomain the failure domain of this host
     * @param random evenly distributed numbers from 0 to 1
     */
    public EnginePlanner(
            FailureDomainId ownDomain,
            LoadBoard loads,
            ServerHealth health,
            DoubleSupplier random) {
        mLoads = loads;
        mHealth = health;
        mRanking = new ServerRanking(ownDomain, health, random, FAILURE_COST, JITTER);
    }

    /** Learns from a prompt that a prefill engine read while nothing else waited there. */
    public synchronized void observePrefill(ServiceId service, long tokens, long tookNanos) {
        double perMilli = tokens * 1e6 / Math.max(1, tookNanos);
        double last = tokensPerMilli(service);
        mTokensPerMilli.put(service, last + (perMilli - last) * NEWEST_SPEED_WEIGHT);
    }

    private double tokensPerMilli(ServiceId service) {
        return mTokensPerMilli.getOrDefault(service, FIRST_TOKENS_PER_MILLI);
    }

    /**
     * Plans a request.
     *
     * @param servers the engines that take new work
     * @param failed those that have failed this request
     * @param targetMillis the wait for the first event that is still on time
     * @return the plan, or none if no decode engine has room or too many prompts wait to be read
     */
    public Optional<EnginePlan> plan(
            List<LiveServer> servers,
            Set<BackendServerId> failed,
            EngineCapacity capacity,
            TokenCounts tokens,
            long targetMillis,
            long nowNanos) {
        return decodes(servers, failed, capacity, tokens, nowNanos)
                .map(
                        decode ->
                                new EnginePlan(
                                        decode,
                                        prefill(
                                                servers,
                                                failed,
                                                decode,
                                                capacity,
                                                tokens,
                                                targetMillis,
                                                nowNanos)))
                .filter(plan -> backlogMillis(plan) <= targetMillis * BACKLOG_TARGET_SHARE)
                .findFirst();
    }

    private synchronized double backlogMillis(EnginePlan plan) {
        double tokens =
                plan.prefill()
                        .map(prefill -> (double) mLoads.total(prefill.id()).unreadTokens())
                        .orElseGet(
                                () ->
                                        mLoads.total(plan.decode().id()).unreadTokens()
                                                * DIRECT_SLOWNESS);
        return tokens / tokensPerMilli(plan.decode().service());
    }

    private Stream<LiveServer> decodes(
            List<LiveServer> servers,
            Set<BackendServerId> failed,
            EngineCapacity capacity,
            TokenCounts tokens,
            long nowNanos) {
        List<LiveServer> able =
                mRanking.awake(ofStage(servers, EngineStage.DECODE, failed), nowNanos);
        return ServerRanking.ranked(
                able.stream().filter(server -> hasRoom(server, capacity, tokens)),
                server -> decodeScore(server, capacity, nowNanos));
    }

    private boolean hasRoom(LiveServer server, EngineCapacity capacity, TokenCounts tokens) {
        ServerLoad load = mLoads.total(server.id());
        boolean empty = load.requests() <= 0;
        return empty
                || load.requests() < capacity.maxConcurrentRequests()
                        && load.tokens() + tokens.plannedKvTokens() <= capacity.kvCacheTokens();
    }

    private double decodeScore(LiveServer server, EngineCapacity capacity, long nowNanos) {
        ServerLoad load = mLoads.total(server.id());
        double memory = (double) load.tokens() / Math.max(1, capacity.kvCacheTokens());
        double unread = (double) load.unreadTokens() / Math.max(1, capacity.kvCacheTokens());
        return memory + unread + mRanking.cost(server, nowNanos);
    }

    private synchronized Optional<LiveServer> prefill(
            List<LiveServer> servers,
            Set<BackendServerId> failed,
            LiveServer decode,
            EngineCapacity capacity,
            TokenCounts tokens,
            long targetMillis,
            long nowNanos) {
        if (mHealth.failureRate(decode.id(), nowNanos) > DOUBTFUL_RATE) {
            return Optional.empty();
        }
        ServerLoad load = mLoads.total(decode.id());
        boolean busy = load.tokens() > capacity.kvCacheTokens() * BUSY_SHARE;
        double directTokens = (load.unreadTokens() + tokens.promptTokens()) * DIRECT_SLOWNESS;
        double perMilli = tokensPerMilli(decode.service());
        double quickTokens = targetMillis * PREFILL_TARGET_SHARE * perMilli;
        double mostTokens = busy ? Math.max(directTokens, quickTokens) : directTokens;
        if (!busy && directTokens / perMilli <= targetMillis * DIRECT_TARGET_SHARE) {
            return Optional.empty();
        }
        Stream<LiveServer> awake =
                ofStage(servers, EngineStage.PREFILL, failed).stream()
                        .filter(server -> !mHealth.isPaused(server.id(), nowNanos));
        return ServerRanking.ranked(awake, server -> prefillTokens(server, nowNanos))
                .findFirst()
                .filter(
                        server ->
                                prefillTokens(server, nowNanos)
                                                + tokens.promptTokens()
                                                + TRANSFER_TOKENS
                                        < mostTokens);
    }

    private double prefillTokens(LiveServer server, long nowNanos) {
        return mLoads.total(server.id()).unreadTokens()
                + mRanking.cost(server, nowNanos) * TRANSFER_TOKENS;
    }

    private static List<LiveServer> ofStage(
            List<LiveServer> servers, EngineStage stage, Set<BackendServerId> failed) {
        return servers.stream()
                .filter(server -> server.isStage(stage) && !failed.contains(server.id()))
                .toList();
    }
}
