package org.fuchsiaford.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The requests of one run, made from a seed: long prompts that share histories, short answers, five
 * workspaces of unequal size. Immutable.
 */
final class Workload {
    private static final int CONVERSATIONS_PER_WORKSPACE = 24;
    private static final int MAX_PROMPT_TOKENS = 30_000;
    private static final double PROMPT_TOKENS_LOG_MEAN = Math.log(3_000);
    private static final double PROMPT_TOKENS_LOG_SIGMA = 0.8;
    private static final double SHARED_PROMPT_FRACTION = 0.9;
    private static final int SIZE_SAMPLES = 2_000;

    /**
     * Workspaces by their part of the load that is inside all rates.
     *
     * @param id the workspace
     * @param loadFraction its part of the requests
     * @param meanTokens the mean size of its requests; limits count tokens
     */
    record WorkspaceLoad(WorkspaceId id, double loadFraction, double meanTokens) {
        /** Returns the tokens that it is entitled to, relative to others. */
        double entitlement() {
            return loadFraction * meanTokens;
        }
    }

    /**
     * A request.
     *
     * @param id its id
     * @param workspace who sends it
     * @param arrivalNanos when it comes
     * @param promptTokens length of the prompt
     * @param prefixHashes a hash for each whole piece of the prompt
     * @param outputTokens length of the answer
     * @param maxTokens the most that the caller would take
     * @param withinRate whether the workspace's own limit admits it
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
     * Makes a workload.
     *
     * @param seed the seed
     * @param scenario load, length, and who sends more than its rate
     * @param blockTokens tokens in a piece
     */
    static Workload create(long seed, Scenario scenario, int blockTokens) {
        Random random = new Random(seed);
        List<WorkspaceLoad> workspaces = standardWorkspaces();
        List<Request> requests = new ArrayList<>();
        for (WorkspaceLoad workspace : workspaces) {
            boolean greedy = workspace.id().value().equals(scenario.greedyWorkspace());
            double inside = scenario.requestsPerSecond() * workspace.loadFraction();
            double sent = inside * (greedy ? scenario.greedyFactor() : 1);
            addRequests(requests, random, scenario, workspace, inside, sent, blockTokens);
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
        double meanTokens =
                IntStream.range(0, SIZE_SAMPLES)
                        .mapToObj(i -> drawConversation(random))
                        .mapToInt(
                                conversation -> promptTokens(conversationRandom(id, conversation)))
                        .average()
                        .orElseThrow();
        return new WorkspaceLoad(id, loadFraction, meanTokens);
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
            double insidePerSecond,
            double sentPerSecond,
            int blockTokens) {
        RateLimit limit = new RateLimit(insidePerSecond);
        double second = 0;
        int count = 0;
        while (true) {
            second += -Math.log(1 - random.nextDouble()) / sentPerSecond;
            if (second >= scenario.seconds()) {
                return;
            }
            long arrivalNanos = (long) (second * TimeUnit.SECONDS.toNanos(1));
            boolean inside = limit.admits(arrivalNanos);
            String id = workspace.id() + "-" + count++;
            requests.add(request(id, random, workspace, arrivalNanos, inside, blockTokens));
        }
    }

    private static Request request(
            String id,
            Random random,
            WorkspaceLoad workspace,
            long arrivalNanos,
            boolean inside,
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
                inside);
    }

    /**
     * Marks the requests that a workspace's own limit admits: its rate, and a burst of 3 s of it.
     */
    private static final class RateLimit {
        private static final double BURST_SECONDS = 3;

        private final double mPerSecond;
        private double mLevel;
        private long mLastNanos;

        RateLimit(double perSecond) {
            // Inside the rate means up to a tenth above the mean, as limits are set in practice.
            mPerSecond = perSecond * 1.1;
            mLevel = Math.max(mPerSecond * BURST_SECONDS, 2);
        }

        boolean admits(long nowNanos) {
            double seconds = (nowNanos - mLastNanos) / 1e9;
            mLastNanos = nowNanos;
            double burst = Math.max(mPerSecond * BURST_SECONDS, 2);
            mLevel = Math.min(mLevel + seconds * mPerSecond, burst);
            if (mLevel < 1) {
                return false;
            }
            mLevel -= 1;
            return true;
        }
    }
}
