package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fairness.Claim;
import org.fuchsiaford.fairness.FairAccounts;
import org.fuchsiaford.fairness.Kind;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;

/** The order of queued requests, and which requests are rejected as not servable in time. */
class EngineQueueTest {
    private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TARGET_START_DELAY_NANOS = 540 * MILLI_NANOS;
    private static final long FIRST_EVENT_TIMEOUT_NANOS = 3_600 * MILLI_NANOS;
    private static final TokenCounts TOKENS = new TokenCounts(5_000, 200, 200);
    private static final long CAPACITY_TOKENS = 200_000;
    private static final long LARGE_CAPACITY_TOKENS = 1_000_000_000;

    private final EngineQueue mQueue = new EngineQueue();

    private EngineQueue.QueuedRequest add(String id, int priority, long arrivedNanos) {
        EngineQueue.QueuedRequest queued = queuedRequest(id, priority, arrivedNanos);
        mQueue.add(queued);
        return queued;
    }

    private static EngineQueue.QueuedRequest queuedRequest(
            String id, int priority, long arrivedNanos) {
        return new EngineQueue.QueuedRequest(
                new RequestId(id),
                TOKENS,
                new Claim(
                        new Kind("route", priority),
                        Optional.empty(),
                        1,
                        new FailureDomainId("here"),
                        TOKENS.plannedKvTokens()),
                arrivedNanos,
                arrivedNanos + TARGET_START_DELAY_NANOS,
                arrivedNanos + FIRST_EVENT_TIMEOUT_NANOS);
    }

    @Example
    void priorityGoesBeforeArrival() {
        EngineQueue.QueuedRequest second = add("b", 1, 5);
        EngineQueue.QueuedRequest first = add("a", 1, 4);
        EngineQueue.QueuedRequest highPriority = add("c", 0, 9);
        assertThat(mQueue.next(false, 10)).contains(highPriority);
        mQueue.remove(highPriority.request());
        assertThat(mQueue.next(false, 10)).contains(first);
        mQueue.remove(first.request());
        assertThat(mQueue.next(false, 10)).contains(second);
    }

    /** Guards against shares that act in deployments that do not ask for them. */
    @Example
    void withoutSharesRequestsGoByPriorityAndArrivalOnly() {
        EngineQueue queue = new EngineQueue(false);
        EngineQueue.QueuedRequest first = queuedRequest("a", 1, 4);
        EngineQueue.QueuedRequest second = queuedRequest("b", 1, 5);
        queue.add(second);
        queue.add(first);
        for (int i = 0; i < 100; i++) {
            queue.recordAsked(first.claim(), 6);
            queue.recordServed(first.claim(), 6);
        }
        assertThat(queue.rank(first.claim())).isEqualTo(FairAccounts.Rank.EVEN);
        assertThat(queue.next(false, 10)).contains(first);
        queue.serve(first.request());
        assertThat(queue.next(false, 10)).contains(second);
    }

    /**
     * A burst of 4 s at twice the capacity: in 100 ms two requests arrive and one starts. Served in
     * order of arrival, most requests of such a burst would be late. Unservable requests are
     * dropped; most of the others must start on time.
     */
    @Example
    void mostRequestsOfABurstStartOnTime() {
        int onTime = 0;
        int dropped = 0;
        for (int tick = 0; tick < 80; tick++) {
            long nowNanos = tick * 100 * MILLI_NANOS;
            if (tick < 40) {
                add("x" + tick, 1, nowNanos);
                add("y" + tick, 1, nowNanos);
            }
            for (EngineQueue.QueuedRequest unservable :
                    mQueue.unservable(0, CAPACITY_TOKENS, nowNanos)) {
                dropped += mQueue.remove(unservable.request()) ? 1 : 0;
            }
            EngineQueue.QueuedRequest next = mQueue.next(false, nowNanos).orElse(null);
            if (next != null) {
                mQueue.remove(next.request());
                onTime += nowNanos <= next.targetStartNanos() ? 1 : 0;
            }
        }
        // There is capacity for 40 in the burst; first come, first served starts about 10 on time.
        assertThat(onTime).isGreaterThanOrEqualTo(36);
        assertThat(dropped).isLessThanOrEqualTo(16);
        assertThat(mQueue.isEmpty()).isTrue();
    }

    /**
     * A burst of 6 s over three hosts: in 300 ms six requests arrive and five start. An engine
     * frees capacity for several requests at once. A host that knew only its own queue would be the
     * first to see it and take all of it, even for late requests, while other hosts still have
     * requests on time.
     */
    @Example
    void aLateRequestYieldsToOnTimeRequestsAtOtherHosts() {
        List<EngineQueue> hosts = List.of(new EngineQueue(), new EngineQueue(), new EngineQueue());
        List<Boolean> startedOnTime = new ArrayList<>();
        for (int tick = 0; tick < 120; tick++) {
            long nowNanos = tick * 50 * MILLI_NANOS;
            hosts.get(tick * 7 % 3).add(queuedRequest("r" + tick, 1, nowNanos));
            if (tick % 6 == 5) {
                startedOnTime.addAll(startFiveRequests(hosts, tick / 6, nowNanos));
            }
        }
        // 90% of the capacity goes to requests on time; hosts deciding alone reached 80%.
        assertThat(startedOnTime).hasSizeGreaterThanOrEqualTo(95);
        assertThat(startedOnTime.stream().filter(onTime -> onTime).count())
                .isGreaterThanOrEqualTo(90);
    }

    private static List<Boolean> startFiveRequests(
            List<EngineQueue> hosts, int first, long nowNanos) {
        List<Boolean> started = new ArrayList<>();
        for (int turn = 0; turn < 2 * hosts.size(); turn++) {
            EngineQueue queue = hosts.get((first + turn) % hosts.size());
            boolean othersOnTime =
                    hosts.stream().anyMatch(q -> q != queue && q.onTimeTokens(nowNanos) > 0);
            Optional<EngineQueue.QueuedRequest> next = queue.next(othersOnTime, nowNanos);
            while (started.size() < 5 && next.isPresent()) {
                queue.remove(next.get().request());
                started.add(nowNanos <= next.get().targetStartNanos());
                next = queue.next(othersOnTime, nowNanos);
            }
        }
        return started;
    }

    @Example
    void aRequestWithTooLongAnEstimatedWaitIsNotQueued() {
        long shortWaitNanos = mQueue.estimateWaitNanos(CAPACITY_TOKENS / 4, CAPACITY_TOKENS);
        long longWaitNanos = mQueue.estimateWaitNanos(CAPACITY_TOKENS, CAPACITY_TOKENS);
        assertThat(mQueue.shouldQueue(shortWaitNanos, FIRST_EVENT_TIMEOUT_NANOS, 0)).isTrue();
        assertThat(mQueue.shouldQueue(longWaitNanos, FIRST_EVENT_TIMEOUT_NANOS, 0)).isFalse();
    }

    @Example
    void lateRequestsDoNotCountAsOnTimeTokens() {
        add("a", 1, 0);
        assertThat(mQueue.onTimeTokens(TARGET_START_DELAY_NANOS))
                .isEqualTo(TOKENS.plannedKvTokens());
        assertThat(mQueue.onTimeTokens(TARGET_START_DELAY_NANOS + 1)).isZero();
    }

    @Example
    void aRequestWhoseFirstEventWouldComeTooLateIsUnservable() {
        EngineQueue.QueuedRequest queued = add("a", 1, 0);
        assertThat(mQueue.unservable(0, LARGE_CAPACITY_TOKENS, 3_000 * MILLI_NANOS)).isEmpty();
        assertThat(mQueue.unservable(0, LARGE_CAPACITY_TOKENS, 3_300 * MILLI_NANOS))
                .containsExactly(queued);
    }

    /**
     * After half of the engines failed, requests queued before must be rejected while they wait and
     * not only when their time is up.
     */
    @Example
    void aLateRequestWithTooMuchWorkAheadIsUnservableBeforeItsDeadline() {
        EngineQueue.QueuedRequest first = add("a", 1, 0);
        EngineQueue.QueuedRequest second = add("b", 1, 1);
        assertThat(mQueue.unservable(90_000, CAPACITY_TOKENS, 500 * MILLI_NANOS)).isEmpty();
        assertThat(mQueue.unservable(0, CAPACITY_TOKENS, 2_500 * MILLI_NANOS)).isEmpty();
        assertThat(mQueue.unservable(45_000, CAPACITY_TOKENS, 2_500 * MILLI_NANOS))
                .containsExactly(second);
        assertThat(mQueue.unservable(90_000, CAPACITY_TOKENS, 2_000 * MILLI_NANOS))
                .containsExactly(first, second);
    }

    @Example
    void slowFirstEventsShortenTheTimeLeftToWait() {
        add("a", 1, 0);
        IntStream.range(0, 40)
                .forEach(
                        i ->
                                mQueue.observeTimeToFirstEvent(
                                        TOKENS.promptTokens(),
                                        (i % 2 == 0 ? 400 : 800) * MILLI_NANOS));
        assertThat(mQueue.unservable(0, LARGE_CAPACITY_TOKENS, 2_500 * MILLI_NANOS)).isEmpty();
        assertThat(mQueue.unservable(0, LARGE_CAPACITY_TOKENS, 2_800 * MILLI_NANOS)).hasSize(1);
    }

    @Example
    void runEstimateIsProportionalToExpectedOutputTokens() {
        TokenCounts usual = new TokenCounts(5_000, 2_000, 500);
        IntStream.range(0, 100).forEach(i -> mQueue.observeRunDuration(usual, 2_000 * MILLI_NANOS));
        assertThat(mQueue.estimateRunNanos(usual))
                .isBetween(2_500 * MILLI_NANOS, 2_700 * MILLI_NANOS);
        assertThat(mQueue.estimateRunNanos(new TokenCounts(5_000, 2_000, 1_000)))
                .isBetween(5_000 * MILLI_NANOS, 5_400 * MILLI_NANOS);
        assertThat(mQueue.estimateRunNanos(new TokenCounts(5_000, 100, 1_000)))
                .isBetween(500 * MILLI_NANOS, 540 * MILLI_NANOS);
    }
}
