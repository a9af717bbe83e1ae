package org.fuchsiaford.standin.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.jqwik.api.Example;

/** The stated targets of placement, on a fixed seed in virtual time. */
class PlacementBenchTest {
    private static final long SEED = 1;
    private static final double FULL_PER_SECOND = 38;
    private static final int SECONDS = 60;
    private static final String OWN = "pool-scheduler";

    private static List<PlacementBench.Row> run(String... names) {
        List<String> wanted = List.of(names);
        return PlacementBench.run(
                SEED,
                PlacementBench.scenarios(FULL_PER_SECOND, SECONDS, 1).stream()
                        .filter(scenario -> wanted.contains(scenario.name()))
                        .toList());
    }

    private static BenchResult own(List<PlacementBench.Row> rows, String scenario) {
        return rows.stream()
                .filter(row -> row.policy().equals(OWN))
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
        BenchResult own = own(rows, "nearly-full");
        double best =
                rows.stream()
                        .filter(row -> !row.policy().equals(OWN))
                        .mapToDouble(row -> row.result().goodputPerSecond())
                        .max()
                        .orElseThrow();
        double offered = (double) own.requests().size() / SECONDS;
        assertThat(own.goodputPerSecond())
                .isGreaterThanOrEqualTo(Math.min(1.25 * best, 0.95 * offered));
        assertThat(own.wastedFraction()).isLessThan(0.01);
    }

    @Example
    void requestsWithinRateAreNotRefusedBelowCapacity() {
        List<PlacementBench.Row> rows = run("half", "nearly-full");
        assertThat(own(rows, "half").refusedWithinRate()).isZero();
        assertThat(own(rows, "nearly-full").refusedWithinRate()).isZero();
    }

    @Example
    void worstServedWorkspaceKeepsItsFairShareWhenAnotherExceedsItsRate() {
        assertThat(own(run("greedy"), "greedy").worstFairShareRatio()).isGreaterThanOrEqualTo(0.9);
    }

    @Example
    void goodputStaysNearItsPeakAboveCapacity() {
        List<PlacementBench.Row> rows = run("nearly-full", "full", "over", "far-over");
        Map<String, BenchResult> own =
                rows.stream()
                        .filter(row -> row.policy().equals(OWN))
                        .map(PlacementBench.Row::result)
                        .collect(Collectors.toMap(r -> r.scenario().name(), Function.identity()));
        double peak =
                own.values().stream()
                        .map(BenchResult::goodputPerSecond)
                        .max(Comparator.naturalOrder())
                        .orElseThrow();
        assertThat(own.get("over").goodputPerSecond()).isGreaterThanOrEqualTo(0.95 * peak);
        assertThat(own.get("far-over").goodputPerSecond()).isGreaterThanOrEqualTo(0.95 * peak);
    }

    @Example
    void everyRequestEndsUnderEveryFault() {
        List<PlacementBench.Row> rows =
                run("prefill-death", "decode-death", "link-stall", "leaving");
        assertThat(rows)
                .filteredOn(row -> row.policy().equals(OWN))
                .allSatisfy(row -> assertThat(row.result().unfinishedRequests()).isZero());
    }
}
