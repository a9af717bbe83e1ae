package org.fuchsiaford.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The requests of a bench run, generated from a seed. Five workspaces of unequal size send long
 * prompts with shared prefixes and receive short outputs. Immutable.
 */
final class Workload {
    private static final int CONVERSATIONS_PER_WORKSPACE = 24;
    private static final int MAX_PROMPT_TOKENS = 30_000;
    private static final double PROMPT_TOKENS_LOG_MEAN = Math.log(3_000);
    private static final double PROMPT_TOKENS_LOG_SIGMA = 0.8;
    private static final double SHARED_PROMPT_FRACTION = 0.9;
    private static final int PROMPT_LENGTH_SAMPLES = 2_000;

    /**
     * The load of a workspace.
     *
     * @param id the ID of the workspace
     * @param loadFraction its fraction of the requests that are within their workspace's rate
     * @param meanPromptTokens the mean length of its prompts, which converts requests to tokens,
     *     the unit of limits
     */
    record WorkspaceLoad(WorkspaceId id, double loadFraction, double meanPromptTokens) {
        /** Returns its share of tokens relative to other workspaces. */
        double entitlement() {
            return loadFraction * meanPromptTokens;
        }
    }

    /**
     * A request to be sent.
     *
     * @param id the ID of the request
     * @param workspace the workspace that sends it
     * @param arrivalNanos the arrival time since the start of the run
     * @param promptTokens the length of the prompt
     * @param prefixHashes a hash for each full block of the shared part of the prompt
     * @param outputTokens the length of the output
     * @param maxTokens the maximum output length that the client allows
     * @param withinRate whether it is within the rate of the workspace
     */
    record Request(
            RequestId id,
            WorkspaceLoad workspace,
            long arrivalNanos,
            int promptTokens,
            long[] prefixHashes,
            int outputTokens,
            int maxTokens,
            boolean withinRate) {}

    private final List<Request> mRequests;

    private Workload(List<Request> requests) {
        mRequests = requests;
    }

    List<Request> requests() {
        return mRequests;
    }

    /**
     * Generates a workload.
     *
     * @param seed the seed of the random generator
     * @param scenario the scenario, which gives the load and duration
     * @param blockTokens the size of a KV cache block, in tokens
     */
    static Workload create(long seed, Scenario scenario, int blockTokens) {
        Random random = new Random(seed);
        List<WorkspaceLoad> workspaces = standardWorkspaces();
        List<Request> requests = new ArrayList<>();
        for (WorkspaceLoad workspace : workspaces) {
            boolean greedy = workspace.id().value().equals(scenario.greedyWorkspace());
            double requestsPerSecond = scenario.requestsPerSecond() * workspace.loadFraction();
            double sentPerSecond = requestsPerSecond * (greedy ? scenario.greedyFactor() : 1);
            addRequests(
                    requests,
                    random,
                    scenario,
                    workspace,
                    requestsPerSecond,
                    sentPerSecond,
                    blockTokens);
        }
        requests.sort((a, b) -> Long.compare(a.arrivalNanos(), b.arrivalNanos()));
        return new Workload(List.copyOf(requests));
    }

    private static List<WorkspaceLoad> standardWorkspaces() {
        return List.of(
                workspace("large-a", 0.4),
                workspace("large-b", 0.25),
                workspace("middle", 0.2),
                workspace("small-a", 0.1),
                workspace("small-b", 0.05));
    }

    private static WorkspaceLoad workspace(String name, double loadFraction) {
        WorkspaceId id = new WorkspaceId(name);
        Random random = new Random(0);
        double meanPromptTokens =
                IntStream.range(0, PROMPT_LENGTH_SAMPLES)
                        .mapToObj(i -> drawConversation(random))
                        .mapToInt(
                                conversation -> promptTokens(conversationRandom(id, conversation)))
                        .average()
                        .orElseThrow();
        return new WorkspaceLoad(id, loadFraction, meanPromptTokens);
    }

    private static int drawConversation(Random random) {
        return (int) (CONVERSATIONS_PER_WORKSPACE * Math.pow(random.nextDouble(), 2));
    }

    private static Random conversationRandom(WorkspaceId id, int conversation) {
        return new Random(id.value().hashCode() * 31L + conversation);
    }

    private static int promptTokens(Random conversationRandom) {
        double log =
                PROMPT_TOKENS_LOG_MEAN
                        + PROMPT_TOKENS_LOG_SIGMA * conversationRandom.nextGaussian();
        return (int) Math.min(Math.max(Math.exp(log), 40), MAX_PROMPT_TOKENS);
    }

    private static void addRequests(
            List<Request> requests,
            Random random,
            Scenario scenario,
            WorkspaceLoad workspace,
            double limitPerSecond,
            double sentPerSecond,
            int blockTokens) {
        RateLimit limit = new RateLimit(limitPerSecond);
        double arrivalSeconds = 0;
        int count = 0;
        while (true) {
            arrivalSeconds += -Math.log(1 - random.nextDouble()) / sentPerSecond;
            if (arrivalSeconds >= scenario.seconds()) {
                return;
            }
            long arrivalNanos = (long) (arrivalSeconds * TimeUnit.SECONDS.toNanos(1));
            boolean withinRate = limit.admits(arrivalNanos);
            String id = workspace.id() + "-" + count++;
            requests.add(request(id, random, workspace, arrivalNanos, withinRate, blockTokens));
        }
    }

    private static Request request(
            String id,
            Random random,
            WorkspaceLoad workspace,
            long arrivalNanos,
            boolean withinRate,
            int blockTokens) {
        Random conversationRandom = conversationRandom(workspace.id(), drawConversation(random));
        int prompt = promptTokens(conversationRandom);
        long[] hashes = new long[(int) (prompt * SHARED_PROMPT_FRACTION) / blockTokens];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = conversationRandom.nextLong();
        }
        int output = 10 + random.nextInt(100);
        return new Request(
                new RequestId(id),
                workspace,
                arrivalNanos,
                prompt + random.nextInt(100),
                hashes,
                output,
                output + random.nextInt(60),
                withinRate);
    }

    /** A token bucket in requests, with a burst of 3 s of the rate. */
    private static final class RateLimit {
        private static final double BURST_SECONDS = 3;

        private final double mPerSecond;
        private double mBucketLevel;
        private long mLastNanos;

        RateLimit(double perSecond) {
            // Limits are set a tenth above the mean rate in practice.
            mPerSecond = perSecond * 1.1;
            mBucketLevel = Math.max(mPerSecond * BURST_SECONDS, 2);
        }

        boolean admits(long nowNanos) {
            double elapsedSeconds = (nowNanos - mLastNanos) / 1e9;
            mLastNanos = nowNanos;
            double burst = Math.max(mPerSecond * BURST_SECONDS, 2);
            mBucketLevel = Math.min(mBucketLevel + elapsedSeconds * mPerSecond, burst);
            if (mBucketLevel < 1) {
                return false;
            }
            mBucketLevel -= 1;
            return true;
        }
    }
}
