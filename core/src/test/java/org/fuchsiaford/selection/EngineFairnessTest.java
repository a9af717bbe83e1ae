package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.selection.LoadRequest.LoadKind;

/**
 * Overloads with uneven kinds, workspaces and prompts, replayed without a network. The bounds are
 * those of docs/UNEVEN-LOAD.md, part D.
 */
class EngineFairnessTest {
    private static final long SECOND = EngineReplay.SECOND;
    private static final int HOSTS = 91;
    private static final int CUT_OFF_HOSTS = 3;
    private static final long DIVIDED_FROM_NANOS = 7 * SECOND;
    private static final long DIVIDED_TO_NANOS = DIVIDED_FROM_NANOS + 1_500 * EngineReplay.MILLI;
    private static final int WORKSPACES = 16;
    private static final long MAX_PROMPT_TOKENS = 32_000;
    private static final double MAX_INVERSION = 0.05;
    private static final double MIN_KIND = 0.25;
    private static final double MIN_LARGEST_TENTH = 0.5;

    /** The floor of a kind is taken for failure domains and workspaces as well. */
    private static final double MIN_DOMAIN = MIN_KIND;

    private static final double MIN_WORKSPACE = MIN_KIND;

    /** By falling urgency; the most urgent kind has the longest prompts. */
    private static final List<LoadKind> KINDS =
            List.of(
                    new LoadKind("urgent", 0, 2_009, 9_000, 0.3),
                    new LoadKind("usual", 1, 1_209, 5_000, 0.4),
                    new LoadKind("batch", 2, 809, 2_500, 0.3));

    private final List<LoadRequest> mLoad = new ArrayList<>();

    /** Adds requests that ask for the given part of the capacity for some time. */
    private void add(
            String name,
            long fromNanos,
            long toNanos,
            double load,
            List<LoadKind> kinds,
            IntUnaryOperator workspace,
            Random random) {
        double meanTokens = kinds.stream().mapToDouble(k -> k.part() * k.meanTokens()).sum();
        double parts = kinds.stream().mapToDouble(LoadKind::part).sum();
        double perSecond = load * EngineReplay.capacityTokensPerSecond() / (meanTokens / parts);
        double atNanos = fromNanos;
        while (atNanos < toNanos) {
            double pick = random.nextDouble() * parts;
            int kind = 0;
            while (kind < kinds.size() - 1 && pick >= kinds.get(kind).part()) {
                pick -= kinds.get(kind).part();
                kind++;
            }
            mLoad.add(
                    new LoadRequest(
                            name + mLoad.size(),
                            kinds.get(kind),
                            workspace.applyAsInt(random.nextInt(WORKSPACES)),
                            random.nextInt(HOSTS),
                            size(kinds.get(kind).meanTokens(), random),
                            (long) atNanos));
            atNanos += -Math.log(1 - random.nextDouble()) / perSecond * SECOND;
        }
    }

    /** Sizes are exponentially distributed around the mean, so few are several times as large. */
    private static TokenCounts size(int meanTokens, Random random) {
        long tokens = (long) (meanTokens * (0.3 + 0.7 * -Math.log(1 - random.nextDouble())));
        return new TokenCounts(Math.min(tokens, MAX_PROMPT_TOKENS), 500, 460);
    }

    private Collection<LoadRequest> play(
            String name,
            int schedulers,
            EngineReplay.Asked schedulerOfHost,
            boolean returns,
            int seed) {
        new EngineReplay(schedulers, schedulerOfHost, returns, seed).play(mLoad);
        List<LoadRequest> loaded =
                mLoad.stream().filter(r -> r.arrivedNanos() >= 5 * SECOND).toList();
        Map<String, Double> kinds =
                loaded.stream()
                        .collect(
                                Collectors.groupingBy(
                                        LoadRequest::route,
                                        Collectors.collectingAndThen(
                                                Collectors.toList(), LoadFigures::part)));
        System.out.println(name + ": " + LoadFigures.of(loaded) + " " + kinds);
        return loaded;
    }

    private void addTwiceTheCapacity(Random random) {
        add("calm", SECOND, 5 * SECOND, 0.5, KINDS, w -> w, random);
        add("burst", 5 * SECOND, 11 * SECOND, 2, KINDS, w -> w, random);
    }

    private static void assertEven(LoadFigures figures) {
        assertThat(figures.inversion()).as(figures.toString()).isLessThanOrEqualTo(MAX_INVERSION);
        assertThat(figures.worstKind()).as(figures.toString()).isGreaterThanOrEqualTo(MIN_KIND);
        assertThat(figures.largestTenth())
                .as(figures.toString())
                .isGreaterThanOrEqualTo(MIN_LARGEST_TENTH);
        assertThat(figures.worstDomain()).as(figures.toString()).isGreaterThanOrEqualTo(MIN_DOMAIN);
        assertThat(figures.worstWorkspace())
                .as(figures.toString())
                .isGreaterThanOrEqualTo(MIN_WORKSPACE);
    }

    /**
     * Six seconds at twice the capacity. Before, the most urgent kind was served worst, because its
     * prompts are the longest.
     */
    @Property(tries = 3, seed = "71")
    void noKindOrSizeIsStarvedAtTwiceTheCapacity(@ForAll @IntRange(max = 1_000) int seed) {
        mLoad.clear();
        addTwiceTheCapacity(new Random(seed));
        assertEven(LoadFigures.of(play("twice the capacity", 1, (host, nanos) -> 0, false, seed)));
    }

    /** Callers that are refused ask again; each return counts for their kind and workspace. */
    @Property(tries = 3, seed = "72")
    void callersThatReturnAreServedAlike(@ForAll @IntRange(max = 1_000) int seed) {
        mLoad.clear();
        addTwiceTheCapacity(new Random(seed));
        assertEven(LoadFigures.of(play("callers that return", 1, (host, nanos) -> 0, true, seed)));
    }

    private static boolean isDivided(long nanos) {
        return nanos >= DIVIDED_FROM_NANOS && nanos < DIVIDED_TO_NANOS;
    }

    /**
     * For a while, half of the hosts ask another scheduler; each knows the other's grants late. It
     * lasts as long as hosts take to notice a coordinator that is reachable again.
     */
    @Property(tries = 3, seed = "73")
    void twoSchedulersStarveNobody(@ForAll @IntRange(max = 1_000) int seed) {
        mLoad.clear();
        addTwiceTheCapacity(new Random(seed));
        assertEven(
                LoadFigures.of(
                        play(
                                "two schedulers",
                                2,
                                (host, nanos) -> isDivided(nanos) ? host % 2 : 0,
                                false,
                                seed)));
    }

    /** Hosts that reach no coordinator decide by themselves. */
    @Property(tries = 3, seed = "75")
    void hostsWithoutACoordinatorStarveNobody(@ForAll @IntRange(max = 1_000) int seed) {
        mLoad.clear();
        addTwiceTheCapacity(new Random(seed));
        assertEven(
                LoadFigures.of(
                        play(
                                "without a coordinator",
                                1 + CUT_OFF_HOSTS,
                                (host, nanos) -> host < CUT_OFF_HOSTS ? 1 + host : 0,
                                false,
                                seed)));
    }

    /**
     * One workspace asks for ten times its usual load with its least urgent kind. Those inside
     * their share must hardly notice.
     */
    @Property(tries = 3, seed = "74")
    void oneWorkspaceDoesNotPushOutTheOthers(@ForAll @IntRange(max = 1_000) int seed) {
        mLoad.clear();
        Random random = new Random(seed);
        add("calm", SECOND, 11 * SECOND, 0.8, KINDS, w -> w, random);
        add("flood", 5 * SECOND, 11 * SECOND, 0.8 * 9 / WORKSPACES, KINDS, w -> 0, random);
        add("flood", 5 * SECOND, 11 * SECOND, 0.8, KINDS.subList(2, 3), w -> 0, random);
        Collection<LoadRequest> loaded = play("one workspace", 1, (host, nanos) -> 0, false, seed);
        Map<Boolean, List<LoadRequest>> byFlood =
                loaded.stream().collect(Collectors.partitioningBy(r -> r.workspace().equals("w0")));
        double others = LoadFigures.part(byFlood.get(false));
        System.out.println(
                "one workspace: others "
                        + LoadFigures.of(byFlood.get(false))
                        + ", own "
                        + LoadFigures.part(byFlood.get(true)));
        assertThat(LoadFigures.of(byFlood.get(false)).worstWorkspace()).isGreaterThan(0.9);
        assertThat(others).isGreaterThan(0.9);
        assertThat(LoadFigures.part(byFlood.get(true))).isPositive();
    }
}
