package org.fuchsiaford.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.selection.EngineLoadSample;

/** Guards against orders that come too early, too often, or leave a stage without an engine. */
class StageSplitPolicyTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double SPEED = 55.6;
    private static final EngineCapacity CAPACITY =
            new EngineCapacity(64, 44_783, 500, 7, 50_000, 100_000, 6_000);

    /** Streams run for three seconds and a change takes six. */
    private static final long ORDER_NANOS = 9 * SECOND;

    private final StageSplitPolicy mPolicy = new StageSplitPolicy();
    private Set<BackendServerId> mPending = Set.of();

    private static EngineLoadSample load(double perSecond, double promptTokens, long forNanos) {
        return new EngineLoadSample(
                forNanos,
                Collections.nCopies(4, perSecond),
                promptTokens,
                0.75,
                promptTokens + 277,
                909,
                0,
                3 * SECOND);
    }

    private static List<LiveServer> engines(int prefill, int decode) {
        List<LiveServer> engines = new ArrayList<>();
        for (int i = 0; i < prefill + decode; i++) {
            EngineStage stage = i < prefill ? EngineStage.PREFILL : EngineStage.DECODE;
            engines.add(engine(String.format("e%02d", i), "z" + i % 3, stage));
        }
        return engines;
    }

    private static LiveServer engine(String id, String domain, EngineStage stage) {
        return TestServers.server(id, domain, Optional.of(stage), false, 1);
    }

    private Optional<StageOrder> next(
            List<LiveServer> engines, EngineLoadSample load, long nowNanos) {
        return mPolicy.next(engines, mPending, CAPACITY, Optional.of(load), SPEED, nowNanos)
                .map(StageChoice::order);
    }

    /** Returns the order once the wish for it has held for long enough. */
    private Optional<StageOrder> held(List<LiveServer> engines, EngineLoadSample load) {
        next(engines, load, 0);
        return next(engines, load, 2 * ORDER_NANOS);
    }

    private static final EngineLoadSample LONG_PROMPTS = load(12, 9_200, 10 * ORDER_NANOS);

    @Example
    void anOrderComesOnceItHasBeenWorthItForLongerThanItTakes() {
        List<LiveServer> engines = engines(1, 11);
        assertThat(next(engines, LONG_PROMPTS, 0)).isEmpty();
        assertThat(next(engines, LONG_PROMPTS, ORDER_NANOS)).isEmpty();
        assertThat(next(engines, LONG_PROMPTS, 2 * ORDER_NANOS))
                .hasValueSatisfying(o -> assertThat(o.stage()).isEqualTo(EngineStage.PREFILL));
    }

    @Example
    void aWishThatDoesNotHoldStartsAnew() {
        List<LiveServer> engines = engines(1, 11);
        next(engines, LONG_PROMPTS, 0);
        next(engines, load(1, 9_200, 10 * ORDER_NANOS), ORDER_NANOS);
        assertThat(next(engines, LONG_PROMPTS, 2 * ORDER_NANOS)).isEmpty();
    }

    @Example
    void noOrderBeforeLoadWasMeasuredForLongerThanAnOrderTakes() {
        assertThat(held(engines(1, 11), load(12, 9_200, ORDER_NANOS))).isEmpty();
        Optional<StageChoice> unmeasured =
                mPolicy.next(
                        engines(1, 11), Set.of(), CAPACITY, Optional.empty(), SPEED, ORDER_NANOS);
        assertThat(unmeasured).isEmpty();
    }

    @Example
    void noOrderWhileThereIsLittleLoad() {
        assertThat(held(engines(1, 11), load(2, 9_200, 10 * ORDER_NANOS))).isEmpty();
        assertThat(held(engines(6, 6), load(2, 9_200, 10 * ORDER_NANOS))).isEmpty();
    }

    @Example
    void noOrderWhileOneIsPendingNorInTheOtherDirectionSoonAfter() {
        List<LiveServer> engines = engines(1, 11);
        LiveServer ordered = held(engines, LONG_PROMPTS).orElseThrow().engine();
        mPending = Set.of(ordered.id());
        assertThat(next(engines, LONG_PROMPTS, 3 * ORDER_NANOS)).isEmpty();
        mPending = Set.of();
        EngineLoadSample shortPrompts = load(200, 100, 10 * ORDER_NANOS);
        List<LiveServer> many = engines(6, 6);
        next(many, shortPrompts, 3 * ORDER_NANOS);
        assertThat(next(many, shortPrompts, 5 * ORDER_NANOS)).isEmpty();
        assertThat(next(many, shortPrompts, 10 * ORDER_NANOS))
                .hasValueSatisfying(o -> assertThat(o.stage()).isEqualTo(EngineStage.DECODE));
    }

    /** After a change of coordinator, the new one keeps the stages until it has measured. */
    @Example
    void aResetStartsTheWishAnew() {
        List<LiveServer> engines = engines(1, 11);
        next(engines, LONG_PROMPTS, 0);
        mPolicy.reset();
        assertThat(next(engines, LONG_PROMPTS, 2 * ORDER_NANOS)).isEmpty();
    }

    @Example
    void theFailureDomainWithTheFewestPrefillEnginesGetsTheNextOne() {
        List<LiveServer> engines = new ArrayList<>(engines(0, 24));
        engines.set(0, engine("e00", "z0", EngineStage.PREFILL));
        engines.set(1, engine("e01", "z1", EngineStage.PREFILL));
        StageOrder order = held(engines, load(24, 9_200, 10 * ORDER_NANOS)).orElseThrow();
        assertThat(order.engine().failureDomain().value()).isEqualTo("z2");
    }

    @Property(seed = "57", tries = 200)
    void ordersUnderASteadyLoadEndAndLeaveAnEngineInEachStage(
            @ForAll @IntRange(min = 1, max = 10) int prefill,
            @ForAll @IntRange(min = 1, max = 20) int decode,
            @ForAll @DoubleRange(min = 1, max = 60) double perSecond,
            @ForAll @IntRange(min = 100, max = 30_000) int promptTokens) {
        EngineLoadSample load = load(perSecond, promptTokens, 10 * ORDER_NANOS);
        List<LiveServer> engines = engines(prefill, decode);
        EngineStage direction = null;
        long nowNanos = 0;
        for (int i = 0; i < 3 * (prefill + decode); i++) {
            nowNanos += 2 * ORDER_NANOS;
            Optional<StageOrder> order = next(engines, load, nowNanos);
            if (order.isPresent()) {
                assertThat(direction == null || direction == order.get().stage()).isTrue();
                direction = order.get().stage();
                LiveServer changed = order.get().engine();
                mPending = Set.of(changed.id());
                next(engines, load, nowNanos);
                mPending = Set.of();
                engines.remove(changed);
                engines.add(
                        engine(
                                changed.id().value(),
                                changed.failureDomain().value(),
                                order.get().stage()));
            }
        }
        assertThat(next(engines, load, nowNanos + 2 * ORDER_NANOS)).isEmpty();
        for (EngineStage stage : EngineStage.values()) {
            assertThat(engines).anyMatch(engine -> engine.hasStage(stage));
        }
    }
}
