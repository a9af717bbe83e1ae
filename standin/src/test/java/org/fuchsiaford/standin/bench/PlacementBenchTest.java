package org.fuchsiaford.standin.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.jqwik.api.Example;

/** Checks the placement targets in the simulation with a fixed seed. */
class PlacementBenchTest {
    private static final long SEED = 1;
    private static final double CAPACITY_REQUESTS_PER_SECOND = 38;
    private static final int SECONDS = 60;
    private static final String PROJECT_POLICY = "pool-scheduler";

    private static List<PlacementBench.Row> run(String... names) {
        List<String> selected = List.of(names);
        return PlacementBench.run(
                SEED,
                PlacementBench.scenarios(CAPACITY_REQUESTS_PER_SECOND, SECONDS, 1).stream()
                        .filter(scenario -> selected.contains(scenario.name()))
                        .toList());
    }

    private static BenchResult projectResult(List<PlacementBench.Row> rows, String scenario) {
        return rows.stream()
                .filter(row -> row.policy().equals(PROJECT_POLICY))
                .map(PlacementBench.Row::result)
                .filter(result -> result.scenario().name().equals(scenario))
                .findFirst()
                .orElseThrow();
    }

    @Example
    void sameSeedProducesIdenticalCsv() {
        assertThat(PlacementBench.csv(run("greedy"))).isEqualTo(PlacementBench.csv(run("greedy")));
    }

    @Example
    void goodputNearCapacityBeatsBaselinesOrServesNearlyAllRequests() {
        List<PlacementBench.Row> rows = run("nearly-full");
        BenchResult result = projectResult(rows, "nearly-full");
        double bestBaseline =
                rows.stream()
                        .filter(row -> !row.policy().equals(PROJECT_POLICY))
                        .mapToDouble(row -> row.result().goodputPerSecond())
                        .max()
                        .orElseThrow();
        double offered = (double) result.requests().size() / SECONDS;
        assertThat(result.goodputPerSecond())
                .isGreaterThanOrEqualTo(Math.min(1.25 * bestBaseline, 0.95 * offered));
        assertThat(result.wastedFraction()).isLessThan(0.01);
    }

    @Example
    void requestsWithinRateAreNotRefusedBelowCapacity() {
        List<PlacementBench.Row> rows = run("half", "nearly-full");
        assertThat(projectResult(rows, "half").refusedWithinRate()).isZero();
        assertThat(projectResult(rows, "nearly-full").refusedWithinRate()).isZero();
    }

    @Example
    void worstServedWorkspaceKeepsItsFairShareWhenAnotherExceedsItsRate() {
        assertThat(projectResult(run("greedy"), "greedy").worstFairShareRatio())
                .isGreaterThanOrEqualTo(0.9);
    }

    @Example
    void goodputStaysNearItsPeakAboveCapacity() {
        List<PlacementBench.Row> rows = run("nearly-full", "full", "over", "far-over");
        Map<String, BenchResult> results =
                rows.stream()
                        .filter(row -> row.policy().equals(PROJECT_POLICY))
                        .map(PlacementBench.Row::result)
                        .collect(
                                Collectors.toMap(
                                        result -> result.scenario().name(), Function.identity()));
        double peak =
                results.values().stream()
                        .map(BenchResult::goodputPerSecond)
                        .max(Comparator.naturalOrder())
                        .orElseThrow();
        assertThat(results.get("over").goodputPerSecond()).isGreaterThanOrEqualTo(0.95 * peak);
        assertThat(results.get("far-over").goodputPerSecond()).isGreaterThanOrEqualTo(0.95 * peak);
    }

    @Example
    void everyRequestEndsUnderEveryFault() {
        List<PlacementBench.Row> rows =
                run("prefill-death", "decode-death", "link-stall", "leaving");
        assertThat(rows)
                .filteredOn(row -> row.policy().equals(PROJECT_POLICY))
                .allSatisfy(row -> assertThat(row.result().unfinishedRequests()).isZero());
    }
}
