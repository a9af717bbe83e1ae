package org.fuchsiaford.standin.bench;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fuchsiaford.placement.ModelSpec;

/**
 * The figures of one run. Immutable; the runs are not changed any more.
 *
 * @param scenario what was run
 * @param model the model with its targets
 * @param runs what became of each request
 * @param computedTokens prompt tokens computed by all prefill engines
 * @param wastedTokens those whose result nobody used
 * @param messages messages to and from the policy
 * @param decisions decisions made
 * @param decisionWallNanos time spent in the policy, by the wall clock; the one figure that differs
 *     from run to run
 */
record BenchResult(
        Scenario scenario,
        ModelSpec model,
        List<RequestRun> runs,
        long computedTokens,
        long wastedTokens,
        long messages,
        long decisions,
        long decisionWallNanos) {

    private boolean isGood(RequestRun run) {
        return run.isGood(model.firstTokenTargetNanos(), model.betweenTokensTargetNanos());
    }

    /** Returns answers a second that came whole and within both targets. */
    double goodputPerSecond() {
        return (double) runs.stream().filter(this::isGood).count() / scenario.seconds();
    }

    /** Returns the part of all computed prompt tokens that was wasted. */
    double wastedPart() {
        return computedTokens == 0 ? 0 : (double) wastedTokens / computedTokens;
    }

    /** Returns the requests that were refused or failed although inside their workspace's rate. */
    long refusedInsideRate() {
        return runs.stream()
                .filter(run -> run.request().insideRate())
                .filter(run -> run.isRefused() || run.isFailed())
                .count();
    }

    long insideRate() {
        return runs.stream().filter(run -> run.request().insideRate()).count();
    }

    /**
     * Returns the part of its good answers that the worst-served workspace gets of its fair share.
     */
    double worstShare() {
        Map<Workload.Tenant, Long> good =
                runs.stream()
                        .filter(this::isGood)
                        .collect(
                                Collectors.groupingBy(
                                        run -> run.request().tenant(), Collectors.counting()));
        return runs.stream()
                .map(run -> run.request().tenant())
                .distinct()
                .mapToDouble(t -> good.getOrDefault(t, 0L) / fairShare(t))
                .min()
                .orElse(0);
    }

    /** A workspace's fair share is what it asks for inside its rate, or its part of all goodput. */
    private double fairShare(Workload.Tenant tenant) {
        long asked =
                runs.stream()
                        .filter(run -> run.request().tenant().equals(tenant))
                        .filter(run -> run.request().insideRate())
                        .count();
        double part = tenant.part() * goodputPerSecond() * scenario.seconds();
        return Math.max(Math.min(asked, part), 1);
    }

    /**
     * Returns a quantile of the time to the first token, in microseconds, over answered requests.
     */
    long firstTokenMicros(double quantile) {
        List<RequestRun> answered =
                runs.stream()
                        .filter(RequestRun::isComplete)
                        .sorted(Comparator.comparingLong(RequestRun::firstTokenMicros))
                        .toList();
        if (answered.isEmpty()) {
            return 0;
        }
        int index = (int) Math.min(quantile * answered.size(), answered.size() - 1.0);
        return answered.get(index).firstTokenMicros();
    }

    long unfinished() {
        return runs.stream()
                .filter(run -> !run.isComplete() && !run.isRefused() && !run.isFailed())
                .count();
    }

    double messagesPerRequest() {
        return (double) messages / Math.max(runs.size(), 1);
    }

    double decisionMicros() {
        return decisionWallNanos / 1e3 / Math.max(decisions, 1);
    }
}
