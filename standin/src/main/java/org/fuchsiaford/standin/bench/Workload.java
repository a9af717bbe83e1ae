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
    private static final int HISTORIES = 24;
    private static final int LONGEST_PROMPT_TOKENS = 30_000;
    private static final double MEAN_LOG_TOKENS = Math.log(3_000);
    private static final double SIGMA_LOG_TOKENS = 0.8;
    private static final double SHARED_PART = 0.9;
    private static final int SIZE_SAMPLES = 2_000;

    /**
     * Workspaces by their part of the load that is inside all rates.
     *
     * @param id the workspace
     * @param part its part of the requests
     * @param meanTokens the mean size of its requests; limits count tokens
     */
    record Tenant(WorkspaceId id, double part, double meanTokens) {
        /** Returns the tokens that it is entitled to, relative to others. */
        double entitlement() {
            return part * meanTokens;
        }
    }

    /**
     * A request.
     *
     * @param id its id
     * @param tenant who sends it
     * @param arrivalNanos when it comes
     * @param promptTokens length of the prompt
     * @param prefixHashes a hash for each whole piece of the prompt
     * @param outputTokens length of the answer
     * @param maxTokens the most that the caller would take
     * @param insideRate whether the workspace's own limit admits it
     */
    record Request(
            RequestId id,
            Tenant tenant,
            long arrivalNanos,
            int promptTokens,
            long[] prefixHashes,
            int outputTokens,
            int maxTokens,
            boolean insideRate) {}

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
        List<Tenant> tenants = standardTenants();
        List<Request> requests = new ArrayList<>();
        for (Tenant tenant : tenants) {
            boolean greedy = tenant.id().value().equals(scenario.greedyWorkspace());
            double inside = scenario.requestsPerSecond() * tenant.part();
            double sent = inside * (greedy ? scenario.greedyFactor() : 1);
            addRequests(requests, random, scenario, tenant, inside, sent, blockTokens);
        }
        requests.sort((a, b) -> Long.compare(a.arrivalNanos(), b.arrivalNanos()));
        return new Workload(List.copyOf(requests));
    }

    private static List<Tenant> standardTenants() {
        return List.of(
                tenant("large-a", 0.4),
                tenant("large-b", 0.25),
                tenant("middle", 0.2),
                tenant("small-a", 0.1),
                tenant("small-b", 0.05));
    }

    private static Tenant tenant(String name, double part) {
        WorkspaceId id = new WorkspaceId(name);
        Random random = new Random(0);
        double meanTokens =
                IntStream.range(0, SIZE_SAMPLES)
                        .mapToObj(i -> drawHistory(random))
                        .mapToInt(history -> promptTokens(ofHistory(id, history)))
                        .average()
                        .orElseThrow();
        return new Tenant(id, part, meanTokens);
    }

    private static int drawHistory(Random random) {
        return (int) (HISTORIES * Math.pow(random.nextDouble(), 2));
    }

    private static Random ofHistory(WorkspaceId id, int history) {
        return new Random(id.value().hashCode() * 31L + history);
    }

    private static int promptTokens(Random ofHistory) {
        double log = MEAN_LOG_TOKENS + SIGMA_LOG_TOKENS * ofHistory.nextGaussian();
        return (int) Math.min(Math.max(Math.exp(log), 40), LONGEST_PROMPT_TOKENS);
    }

    private static void addRequests(
            List<Request> requests,
            Random random,
            Scenario scenario,
            Tenant tenant,
            double insidePerSecond,
            double sentPerSecond,
            int blockTokens) {
        RateMark mark = new RateMark(insidePerSecond);
        double second = 0;
        int count = 0;
        while (true) {
            second += -Math.log(1 - random.nextDouble()) / sentPerSecond;
            if (second >= scenario.seconds()) {
                return;
            }
            long arrivalNanos = (long) (second * TimeUnit.SECONDS.toNanos(1));
            boolean inside = mark.admits(arrivalNanos);
            String id = tenant.id() + "-" + count++;
            requests.add(request(id, random, tenant, arrivalNanos, inside, blockTokens));
        }
    }

    private static Request request(
            String id,
            Random random,
            Tenant tenant,
            long arrivalNanos,
            boolean inside,
            int blockTokens) {
        Random ofHistory = ofHistory(tenant.id(), drawHistory(random));
        int prompt = promptTokens(ofHistory);
        long[] hashes = new long[(int) (prompt * SHARED_PART) / blockTokens];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = ofHistory.nextLong();
        }
        int output = 10 + random.nextInt(100);
        return new Request(
                new RequestId(id),
                tenant,
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
    private static final class RateMark {
        private static final double BURST_SECONDS = 3;

        private final double mPerSecond;
        private double mLevel;
        private long mLastNanos;

        RateMark(double perSecond) {
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
