package org.fuchsiaford.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;

/** The stages that orders lead to, for any number of engines. */
class StagePolicyTest {
    private static List<LiveServer> engines(int prefill, int decode) {
        List<LiveServer> engines = new ArrayList<>();
        IntStream.range(0, prefill)
                .mapToObj(i -> TestServers.engine("p" + i, EngineStage.PREFILL))
                .forEach(engines::add);
        IntStream.range(0, decode)
                .mapToObj(i -> TestServers.engine("d" + i, EngineStage.DECODE))
                .forEach(engines::add);
        return engines;
    }

    @Property(seed = "51")
    void ordersEndWithOnePrefillEnginePerSixAndNeverOscillate(
            @ForAll @IntRange(max = 20) int prefill, @ForAll @IntRange(max = 20) int decode) {
        List<LiveServer> engines = engines(prefill, decode);
        Optional<StageOrder> order = StagePolicy.next(engines, Set.of(), 0.5);
        int orders = 0;
        while (order.isPresent()) {
            EngineStage wantedStage = prefill == 0 ? EngineStage.PREFILL : EngineStage.DECODE;
            assertThat(order.get().stage()).isEqualTo(wantedStage);
            LiveServer changed = order.get().engine();
            engines.remove(changed);
            engines.add(TestServers.engine(changed.id().value(), order.get().stage()));
            order = StagePolicy.next(engines, Set.of(), 0.5);
            orders++;
        }
        long left = engines.stream().filter(e -> e.hasStage(EngineStage.PREFILL)).count();
        long wanted = Math.max(1, engines.size() / 6);
        boolean few = engines.size() < 4;
        long expected = few ? prefill : Math.max(1, Math.min(prefill, wanted));
        assertThat(left).isEqualTo(expected);
        assertThat(orders).isEqualTo((int) Math.abs(prefill - expected));
    }

    @Example
    void aServiceThatLostItsOnlyPrefillEngineGetsOneBack() {
        StageOrder order = StagePolicy.next(engines(0, 5), Set.of(), 0.5).orElseThrow();
        assertThat(order.stage()).isEqualTo(EngineStage.PREFILL);
        assertThat(StagePolicy.next(engines(0, 5), Set.of(order.engine().id()), 0.5)).isEmpty();
        assertThat(StagePolicy.next(engines(0, 5), Set.of(), 0.6)).isEmpty();
        assertThat(StagePolicy.next(engines(0, 3), Set.of(), 0.5)).isEmpty();
    }

    @Example
    void anEngineWithAPendingOrderGetsNoOther() {
        List<LiveServer> engines = engines(3, 3);
        StageOrder first = StagePolicy.next(engines, Set.of(), 0.5).orElseThrow();
        StageOrder second =
                StagePolicy.next(engines, Set.of(first.engine().id()), 0.5).orElseThrow();
        assertThat(second.engine()).isNotEqualTo(first.engine());
        assertThat(
                        StagePolicy.next(
                                engines,
                                Set.of(first.engine(), second.engine()).stream()
                                        .map(LiveServer::id)
                                        .collect(Collectors.toSet()),
                                0.5))
                .isEmpty();
    }
}
