package org.fuchsiaford.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.placement.PlacementEvent.Kind;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.WorkspaceId;

/** Checks that capacity is never assigned twice and that every request gets one decision. */
class PoolSchedulerTest {
    private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int BATCH_SLOTS = 3;
    private static final int BLOCKS = 8;
    private static final ModelSpec MODEL =
            new ModelSpec(340 * MILLI_NANOS, 27 * MILLI_NANOS, 2_000, 100_000);

    private static EngineSpec engine(String id, BackendKind kind) {
        boolean decode = kind == BackendKind.DECODE;
        return new EngineSpec(
                new BackendServerId(id),
                kind,
                new FailureDomainId("d"),
                decode ? BATCH_SLOTS : 0,
                BLOCKS,
                decode ? 0 : 40_000,
                10_000_000_000L);
    }

    private static List<EngineSpec> engines() {
        return List.of(
                engine("p0", BackendKind.PREFILL),
                engine("p1", BackendKind.PREFILL),
                engine("d0", BackendKind.DECODE),
                engine("d1", BackendKind.DECODE));
    }

    private static PlacementRequest request(String id, int promptTokens, long... prefixHashes) {
        return new PlacementRequest(
                new RequestId(id),
                new WorkspaceId("w" + id.charAt(id.length() - 1)),
                1_000,
                promptTokens,
                50,
                prefixHashes,
                340);
    }

    @Property(tries = 300, seed = "6", shrinking = ShrinkingMode.OFF)
    void neverExceedsCapacityAndDecidesOncePerRequest(@ForAll long seed) {
        Random random = new Random(seed);
        PoolScheduler scheduler = new PoolScheduler(MODEL, engines());
        Map<RequestId, PlacementDecision> placed = new HashMap<>();
        Map<RequestId, Integer> blocks = new HashMap<>();
        Set<RequestId> decided = new HashSet<>();
        long nowNanos = 0;
        for (int i = 0; i < 200; i++) {
            nowNanos += random.nextInt(30) * MILLI_NANOS;
            if (random.nextBoolean()) {
                PlacementRequest request = request("r" + i, 1 + random.nextInt(6_000));
                blocks.put(request.request(), MODEL.blocks(request.promptTokens() + 50));
                scheduler.submit(request, nowNanos);
            } else if (!placed.isEmpty()) {
                finishOne(scheduler, placed, random, nowNanos);
            }
            for (PlacementDecision decision : scheduler.decide(nowNanos)) {
                assertThat(decided.add(decision.request())).as("one decision").isTrue();
                if (decision.placed()) {
                    placed.put(decision.request(), decision);
                } else {
                    assertThat(decision.retryAfterMillis()).isPositive();
                }
            }
            checkCapacity(placed, blocks, seed);
        }
    }

    private static void finishOne(
            PoolScheduler scheduler,
            Map<RequestId, PlacementDecision> placed,
            Random random,
            long nowNanos) {
        List<RequestId> ids = new ArrayList<>(placed.keySet());
        ids.sort(null);
        RequestId id = ids.get(random.nextInt(ids.size()));
        PlacementDecision decision = placed.remove(id);
        Kind[] ends = {Kind.FINISHED, Kind.CANCELLED, Kind.ENGINE_REFUSED, Kind.ENGINE_FAILED};
        Kind end = ends[random.nextInt(ends.length)];
        scheduler.recordEvent(new PlacementEvent(id, end, decision.decode(), 10), nowNanos);
    }

    private static void checkCapacity(
            Map<RequestId, PlacementDecision> placed, Map<RequestId, Integer> blocks, long seed) {
        for (String name : List.of("d0", "d1")) {
            BackendServerId engine = new BackendServerId(name);
            List<RequestId> held =
                    placed.entrySet().stream()
                            .filter(entry -> entry.getValue().decode().equals(engine))
                            .map(Map.Entry::getKey)
                            .toList();
            assertThat(held).as("batch slots, seed %d", seed).hasSizeLessThanOrEqualTo(BATCH_SLOTS);
            assertThat(held.stream().mapToInt(blocks::get).sum())
                    .as("blocks, seed %d", seed)
                    .isLessThanOrEqualTo(BLOCKS);
        }
    }

    @Example
    void prefersEngineThatCachesThePrefix() {
        PoolScheduler scheduler = new PoolScheduler(MODEL, engines());
        scheduler.submit(request("a1", 6_000, 1, 2, 3), 0);
        PlacementDecision first = scheduler.decide(0).get(0);
        finish(scheduler, first, 200 * MILLI_NANOS);
        scheduler.submit(request("b1", 6_000, 9, 8, 7), 300 * MILLI_NANOS);
        PlacementDecision other = scheduler.decide(300 * MILLI_NANOS).get(0);
        finish(scheduler, other, 500 * MILLI_NANOS);
        scheduler.submit(request("c1", 6_000, 1, 2, 3), 600 * MILLI_NANOS);
        PlacementDecision again = scheduler.decide(600 * MILLI_NANOS).get(0);
        assertThat(again.prefill()).isEqualTo(first.prefill());
    }

    private static void finish(PoolScheduler scheduler, PlacementDecision decision, long now) {
        RequestId id = decision.request();
        scheduler.recordEvent(
                new PlacementEvent(id, Kind.PREFILL_FINISHED, decision.prefill(), 0), now);
        scheduler.recordEvent(new PlacementEvent(id, Kind.FINISHED, decision.decode(), 10), now);
    }

    @Example
    void engineThatRefusesIsPassedOver() {
        PoolScheduler scheduler = new PoolScheduler(MODEL, engines());
        scheduler.submit(request("r1", 100), 0);
        PlacementDecision first = scheduler.decide(0).get(0);
        scheduler.recordEvent(
                new PlacementEvent(first.request(), Kind.ENGINE_REFUSED, first.prefill(), 0),
                10 * MILLI_NANOS);
        scheduler.submit(request("r1", 100), 11 * MILLI_NANOS);
        assertThat(scheduler.decide(11 * MILLI_NANOS).get(0).prefill())
                .isNotEqualTo(first.prefill());
    }

    @Example
    void reportedEvictionRemovesBlockFromEstimate() {
        PrefixCacheEstimate estimate = new PrefixCacheEstimate(10);
        estimate.addPrompt(new long[] {1, 2, 3});
        estimate.apply(new EngineLoad.CacheEvent(2, false));
        assertThat(estimate.cachedBlocks(new long[] {1, 2, 3})).isEqualTo(1);
    }

    @Example
    void placementWithoutEventsExpiresAndFreesCapacity() {
        PoolScheduler scheduler = new PoolScheduler(MODEL, engines());
        for (int i = 0; i < 2 * BATCH_SLOTS; i++) {
            long now = i * 100 * MILLI_NANOS;
            scheduler.submit(request("r" + i, 100), now);
            PlacementDecision decision = scheduler.decide(now).get(0);
            assertThat(decision.placed()).isTrue();
            scheduler.recordEvent(
                    new PlacementEvent(
                            decision.request(), Kind.PREFILL_FINISHED, decision.prefill(), 0),
                    now + MILLI_NANOS);
        }
        scheduler.submit(request("full", 100), 700 * MILLI_NANOS);
        assertThat(scheduler.decide(700 * MILLI_NANOS)).as("no batch slot is free").isEmpty();
        scheduler.submit(request("later", 100), 7_000 * MILLI_NANOS);
        assertThat(scheduler.decide(7_000 * MILLI_NANOS)).anyMatch(PlacementDecision::placed);
    }

    @Example
    void failedEngineBacksOffAndRampsUp() {
        EngineHealth health = new EngineHealth();
        health.recordFailure(0);
        assertThat(health.usableFraction(100 * MILLI_NANOS)).isZero();
        assertThat(health.usableFraction(300 * MILLI_NANOS)).isBetween(0.2, 0.5);
        assertThat(health.usableFraction(3_000 * MILLI_NANOS)).isEqualTo(1);
    }
}
