package org.fuchsiaford.standin.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.fuchsiaford.placement.EngineSpec;
import org.fuchsiaford.placement.ModelSpec;
import org.fuchsiaford.placement.PlacementPolicy;
import org.fuchsiaford.placement.PoolScheduler;
import org.fuchsiaford.standin.bench.policy.Baseline;
import org.fuchsiaford.standin.engine.EngineProfile;

/**
 * Compares the placement policy with baselines on the same workloads and seeds. Prints a table and
 * writes a CSV file and a plot. All results except the decision time are deterministic.
 */
public final class PlacementBench {
    private static final int EXIT_USAGE = 2;
    private static final ModelSpec MODEL =
            new ModelSpec(
                    TimeUnit.MILLISECONDS.toNanos(340),
                    TimeUnit.MILLISECONDS.toNanos(27),
                    EngineProfile.STANDARD.blockTokens(),
                    EngineProfile.STANDARD.kvBytesPerToken());

    private static final String GREEDY_WORKSPACE = "middle";
    private static final double GREEDY_FACTOR = 5;

    private PlacementBench() {}

    /** Runs the bench with the given options. */
    public static void main(String[] args) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed =
                parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        OptionSpec<Integer> seconds =
                parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(60);
        OptionSpec<Double> full =
                parser.accepts("full", "load that fills the engines, in requests per second")
                        .withRequiredArg()
                        .ofType(Double.class)
                        .defaultsTo(38.0);
        OptionSpec<Integer> scale =
                parser.accepts(
                                "scale",
                                "factor for the load and for three prefill and decode engines each")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(1);
        OptionSpec<Void> detail = parser.accepts("detail", "print the results of each workspace");
        OptionSpec<String> out =
                parser.accepts("out", "directory for the CSV file and the plot").withRequiredArg();
        try {
            OptionSet options = parser.parse(args);
            List<Row> rows =
                    run(
                            options.valueOf(seed),
                            scenarios(
                                    options.valueOf(full),
                                    options.valueOf(seconds),
                                    options.valueOf(scale)));
            System.out.print(table(rows, options.has(detail)));
            if (options.has(out)) {
                write(Path.of(options.valueOf(out)), rows);
            }
        } catch (OptionException e) {
            System.err.println(e.getMessage());
            parser.printHelpOn(System.err);
            System.exit(EXIT_USAGE);
        }
    }

    /** The result of a policy in a scenario. */
    record Row(String policy, BenchResult result) {}

    /** Returns the factories of the policies by name; the project's own policy comes last. */
    static Map<String, BiFunction<ModelSpec, List<EngineSpec>, PlacementPolicy>> policies() {
        Map<String, BiFunction<ModelSpec, List<EngineSpec>, PlacementPolicy>> policies =
                new LinkedHashMap<>();
        for (Baseline baseline : Baseline.values()) {
            String name = baseline.name().toLowerCase(Locale.ROOT).replace('_', '-');
            policies.put(name, (model, engines) -> baseline.create(engines));
        }
        policies.put("pool-scheduler", PoolScheduler::new);
        return policies;
    }

    /**
     * Returns the scenarios.
     *
     * @param full the load that fills three prefill and three decode engines, in requests per
     *     second
     * @param seconds the duration during which requests arrive
     * @param scale the factor by which the load and the numbers of engines are multiplied
     */
    static List<Scenario> scenarios(double full, int seconds, int scale) {
        List<Scenario> scenarios = new ArrayList<>();
        scenarios.add(faultFree("half", 0.5 * full, seconds, scale));
        scenarios.add(faultFree("nearly-full", 0.9 * full, seconds, scale));
        scenarios.add(faultFree("full", full, seconds, scale));
        scenarios.add(faultFree("over", 1.3 * full, seconds, scale));
        scenarios.add(faultFree("far-over", 2 * full, seconds, scale));
        scenarios.add(
                scenario(
                        "greedy",
                        0.7 * full,
                        seconds,
                        scale,
                        GREEDY_WORKSPACE,
                        Scenario.Fault.NONE));
        for (Scenario.Fault fault : Scenario.Fault.values()) {
            if (fault != Scenario.Fault.NONE) {
                String name = fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
                scenarios.add(scenario(name, 0.7 * full, seconds, scale, "", fault));
            }
        }
        return scenarios;
    }

    private static Scenario faultFree(String name, double load, int seconds, int scale) {
        return scenario(name, load, seconds, scale, "", Scenario.Fault.NONE);
    }

    private static Scenario scenario(
            String name, double load, int seconds, int scale, String greedy, Scenario.Fault fault) {
        return new Scenario(
                name, load * scale, seconds, greedy, GREEDY_FACTOR, fault, 3 * scale, 3 * scale);
    }

    /** Runs every policy in every scenario. */
    static List<Row> run(long seed, List<Scenario> scenarios) {
        List<Row> rows = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            policies()
                    .forEach(
                            (name, factory) ->
                                    rows.add(
                                            new Row(
                                                    name,
                                                    new BenchRun(
                                                                    seed,
                                                                    scenario,
                                                                    MODEL,
                                                                    EngineProfile.STANDARD,
                                                                    factory)
                                                            .run())));
        }
        return rows;
    }

    private static String table(List<Row> rows, boolean detail) {
        String header =
                String.format(
                        "%-14s %-20s %8s %8s %7s %7s %12s %9s %6s %8s %5s%n",
                        "scenario",
                        "policy",
                        "offered",
                        "goodput",
                        "wasted",
                        "worst",
                        "refused-in",
                        "ttft-p95",
                        "msgs",
                        "decide",
                        "open");
        return rows.stream()
                .map(row -> tableLine(row) + (detail ? row.result().detail() : ""))
                .collect(Collectors.joining("", header, ""));
    }

    private static String tableLine(Row row) {
        BenchResult result = row.result();
        return String.format(
                "%-14s %-20s %6.1f/s %6.2f/s %6.2f%% %7.2f %5d/%6d %6.0f ms %6.1f %5.1f us %5d%n",
                result.scenario().name(),
                row.policy(),
                (double) result.requests().size() / result.scenario().seconds(),
                result.goodputPerSecond(),
                100 * result.wastedFraction(),
                result.worstFairShareRatio(),
                result.refusedWithinRate(),
                result.requestsWithinRate(),
                result.firstTokenMicros(0.95) / 1e3,
                result.messagesPerRequest(),
                result.decisionMicros(),
                result.unfinishedRequests());
    }

    /** Returns the results as CSV, without the decision time, which is not deterministic. */
    static String csv(List<Row> rows) {
        return rows.stream()
                .map(PlacementBench::csvLine)
                .collect(
                        Collectors.joining(
                                "\n",
                                "scenario,policy,requests,goodput,wasted,worst,refused_inside,"
                                        + "inside,ttft_p95_us,messages\n",
                                "\n"));
    }

    private static String csvLine(Row row) {
        BenchResult result = row.result();
        return String.format(
                Locale.ROOT,
                "%s,%s,%d,%.3f,%.5f,%.3f,%d,%d,%d,%d",
                result.scenario().name(),
                row.policy(),
                result.requests().size(),
                result.goodputPerSecond(),
                result.wastedFraction(),
                result.worstFairShareRatio(),
                result.refusedWithinRate(),
                result.requestsWithinRate(),
                result.firstTokenMicros(0.95),
                result.messages());
    }

    private static void write(Path directory, List<Row> rows) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve("placement.csv"), csv(rows));
        Files.writeString(directory.resolve("placement.svg"), GoodputPlot.svg(rows));
    }
}
