package org.fuchsiaford.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import org.fuchsiaford.registry.EngineStage;

/**
 * Guards against a split of the engines that serves fewer streams in time than the load allows, and
 * against orders that follow every swing of the load.
 */
class StageSplitReplayTest {
    private static final int ENGINES = 12;

    /** One prefill engine of six engines, whatever the load is. */
    private static final int FIXED_SPLIT = 2;

    private static final double LONG_RATE = 12;
    private static final double SHORT_RATE = 70;
    private static final double DURATION = 120_000;
    private static final double LONGER_DURATION = 180_000;
    private static final double SWING_DURATION = 600_000;

    /** A tenth of the long prompts is over 19,400 tokens. */
    private static final double SIGMA = 0.894;

    private static final int LONGEST_PROMPT = 32_200;
    private static final StagedEngineReplay.PromptLengths LONG = logNormal(9_200);
    private static final StagedEngineReplay.PromptLengths SHORT = logNormal(1_500);

    private static StagedEngineReplay.PromptLengths logNormal(double mean) {
        double mu = Math.log(mean) - SIGMA * SIGMA / 2;
        return (random, time) ->
                Math.min(LONGEST_PROMPT, (long) Math.exp(mu + SIGMA * random.nextGaussian()) + 1);
    }

    private static StagedEngineReplay replay(
            long seed,
            int split,
            DoubleUnaryOperator rate,
            StagedEngineReplay.PromptLengths prompts) {
        return new StagedEngineReplay(
                seed,
                ENGINES,
                split,
                rate,
                prompts,
                StagedEngineReplay.GAP_TARGET,
                Optional.empty());
    }

    /** Returns the streams in time over several runs of a load at a split that stays. */
    private static long inTime(int split, double rate, StagedEngineReplay.PromptLengths prompts) {
        return LongStream.range(0, 5)
                .map(seed -> replay(seed, split, t -> rate, prompts).run(DURATION).inTime())
                .sum();
    }

    private static int wanted(double rate, StagedEngineReplay.PromptLengths prompts) {
        StagedEngineReplay replay = replay(1, FIXED_SPLIT, t -> rate, prompts);
        replay.run(DURATION);
        return replay.wantedPrefillEngines();
    }

    @Example
    void longPromptsGetMorePrefillEnginesThanAFixedShareAndMoreStreamsAreInTime() {
        int wanted = wanted(LONG_RATE, LONG);
        assertThat(wanted).isGreaterThan(FIXED_SPLIT);
        long inTime = inTime(wanted, LONG_RATE, LONG);
        assertThat(inTime).isGreaterThan(inTime(FIXED_SPLIT, LONG_RATE, LONG));
        assertThat(inTime).isGreaterThan(inTime(1, LONG_RATE, LONG));
        assertThat(inTime).isGreaterThan(inTime(ENGINES / 2, LONG_RATE, LONG));
    }

    /** For short prompts one of six is the split that serves most, and the load calls for it. */
    @Example
    void shortPromptsGetTheSplitAtWhichMostStreamsAreInTime() {
        int wanted = wanted(SHORT_RATE, SHORT);
        assertThat(wanted).isEqualTo(FIXED_SPLIT);
        long inTime = inTime(wanted, SHORT_RATE, SHORT);
        assertThat(inTime).isGreaterThan(inTime(1, SHORT_RATE, SHORT));
        assertThat(inTime).isGreaterThan(inTime(FIXED_SPLIT + 1, SHORT_RATE, SHORT));
        assertThat(inTime).isGreaterThan(inTime(ENGINES / 2, SHORT_RATE, SHORT));
    }

    @Example
    void ordersLeadFromAWrongSplitToABetterOneInAllFailureDomains() {
        for (int split : List.of(1, ENGINES / 2)) {
            StagedEngineReplay.Result kept =
                    replay(3, split, t -> LONG_RATE, LONG).run(LONGER_DURATION);
            StagedEngineReplay replay = replayWithOrders(split, t -> LONG_RATE, LONG);
            StagedEngineReplay.Result ordered = replay.run(LONGER_DURATION);
            assertThat(ordered.inTime()).isGreaterThan(kept.inTime());
            assertThat(ordered.prefillEngines()).isEqualTo(3);
            assertThat(replay.prefillEnginesByDomain().values()).containsOnly(1L);
            assertThat(stages(ordered)).hasSize(1);
        }
    }

    /** While prompts were placed without regard to pauses, one stream of six made too long ones. */
    @Example
    void streamsMakeNoTooLongPausesWherePromptsAreReadApart() {
        StagedEngineReplay without =
                new StagedEngineReplay(
                        3, ENGINES, FIXED_SPLIT, t -> LONG_RATE, LONG, 0, Optional.empty());
        StagedEngineReplay.Result former = without.run(DURATION);
        StagedEngineReplay.Result now = replay(3, FIXED_SPLIT, t -> LONG_RATE, LONG).run(DURATION);
        assertThat(former.paused()).isGreaterThan(former.asked() / 10);
        assertThat(now.paused()).isZero();
        assertThat(now.inTime()).isGreaterThan(former.inTime());
    }

    /** Long and short prompts call for three and two prefill engines, in turns. */
    @Example
    void ordersDoNotFollowTheSwingsOfALoad() {
        for (double period : List.of(10_000.0, 30_000.0, 60_000.0, 120_000.0)) {
            StagedEngineReplay.PromptLengths prompts =
                    (random, t) -> (isFirstHalf(t, period) ? LONG : SHORT).draw(random, t);
            DoubleUnaryOperator rate = t -> isFirstHalf(t, period) ? LONG_RATE : SHORT_RATE;
            for (int split : List.of(FIXED_SPLIT, 4)) {
                StagedEngineReplay.Result kept =
                        replay(3, split, rate, prompts).run(SWING_DURATION);
                StagedEngineReplay.Result ordered =
                        replayWithOrders(split, rate, prompts).run(SWING_DURATION);
                assertThat(stages(ordered)).hasSizeLessThanOrEqualTo(1);
                assertThat(ordered.orders()).hasSizeLessThanOrEqualTo(2);
                assertThat(ordered.inTime()).isGreaterThanOrEqualTo(kept.inTime());
            }
        }
    }

    /** Long prompts call for three prefill engines, then very short ones for fewer. */
    @Example
    void ordersTurnBackOnceALoadHasChangedForLong() {
        double change = 100_000;
        StagedEngineReplay.PromptLengths veryShort = (random, t) -> 100;
        StagedEngineReplay.PromptLengths prompts =
                (random, t) -> (t < change ? LONG : veryShort).draw(random, t);
        DoubleUnaryOperator rate = t -> t < change ? LONG_RATE : 210;
        StagedEngineReplay.Result ordered = replayWithOrders(1, rate, prompts).run(LONGER_DURATION);
        StagedEngineReplay.Result kept = replay(3, 3, rate, prompts).run(LONGER_DURATION);
        assertThat(ordered.inTime()).isGreaterThan(kept.inTime());
        List<StagedEngineReplay.Order> orders = ordered.orders();
        assertThat(orders.stream().map(StagedEngineReplay.Order::stage))
                .containsExactly(EngineStage.PREFILL, EngineStage.PREFILL, EngineStage.DECODE);
        assertThat(orders.get(2).time() - orders.get(1).time()).isGreaterThan(37_000);
    }

    private static boolean isFirstHalf(double time, double period) {
        return time % (2 * period) < period;
    }

    private static StagedEngineReplay replayWithOrders(
            int split, DoubleUnaryOperator rate, StagedEngineReplay.PromptLengths prompts) {
        return new StagedEngineReplay(
                3,
                ENGINES,
                split,
                rate,
                prompts,
                StagedEngineReplay.GAP_TARGET,
                Optional.of(new StageSplitPolicy()));
    }

    private static Set<EngineStage> stages(StagedEngineReplay.Result result) {
        return result.orders().stream()
                .map(StagedEngineReplay.Order::stage)
                .collect(Collectors.toSet());
    }
}
