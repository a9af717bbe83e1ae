package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;

/** Who waits, who goes first, and who is told at once that waiting is in vain. */
class EngineQueueTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long ON_TIME = 540 * MILLI;
    private static final long PATIENCE = 3_600 * MILLI;
    private static final TokenCounts SIZE = new TokenCounts(5_000, 200, 200);
    private static final long MEMORY_TOKENS = 200_000;
    private static final long PLENTY_TOKENS = 1_000_000_000;

    private final EngineQueue mQueue = new EngineQueue();

    private EngineQueue.Waiting add(String id, int priority, long arrivedNanos) {
        EngineQueue.Waiting waiting = waiting(id, priority, arrivedNanos);
        mQueue.add(waiting);
        return waiting;
    }

    private static EngineQueue.Waiting waiting(String id, int priority, long arrivedNanos) {
        return new EngineQueue.Waiting(
                new RequestId(id),
                SIZE,
                priority,
                arrivedNanos,
                arrivedNanos + ON_TIME,
                arrivedNanos + PATIENCE);
    }

    @Example
    void rankGoesFirstThenAge() {
        EngineQueue.Waiting second = add("b", 1, 5);
        EngineQueue.Waiting first = add("a", 1, 4);
        EngineQueue.Waiting urgent = add("c", 0, 9);
        assertThat(mQueue.next(false, 10)).contains(urgent);
        mQueue.remove(urgent.request());
        assertThat(mQueue.next(false, 10)).contains(first);
        mQueue.remove(first.request());
        assertThat(mQueue.next(false, 10)).contains(second);
    }

    /**
     * A burst of 4 s at twice what the engines start: one in 100 ms, two arrive. Those that would
     * wait for longer than their callers do leave; the others must not all be late.
     */
    @Example
    void aBurstDoesNotMakeEverybodyLate() {
        int onTime = 0;
        int gaveUp = 0;
        for (int tick = 0; tick < 80; tick++) {
            long nowNanos = tick * 100 * MILLI;
            if (tick < 40) {
                add("x" + tick, 1, nowNanos);
                add("y" + tick, 1, nowNanos);
            }
            for (EngineQueue.Waiting hopeless : mQueue.hopeless(0, MEMORY_TOKENS, nowNanos)) {
                gaveUp += mQueue.remove(hopeless.request()) ? 1 : 0;
            }
            EngineQueue.Waiting next = mQueue.next(false, nowNanos).orElse(null);
            if (next != null) {
                mQueue.remove(next.request());
                onTime += nowNanos <= next.onTimeUntilNanos() ? 1 : 0;
            }
        }
        // First come first served would start ten or so on time; the burst has room for 40.
        assertThat(onTime).isGreaterThanOrEqualTo(36);
        assertThat(gaveUp).isLessThanOrEqualTo(16);
        assertThat(mQueue.isEmpty()).isTrue();
    }

    /**
     * A burst of 6 s over three hosts: five starts in 300 ms, six requests. An engine frees room
     * for several at once, and the host that sees it first takes what it can.
     */
    @Example
    void aLateRequestLeavesTheRoomToThoseOnTimeAtOtherHosts() {
        List<EngineQueue> hosts = List.of(new EngineQueue(), new EngineQueue(), new EngineQueue());
        List<Boolean> startedOnTime = new ArrayList<>();
        for (int tick = 0; tick < 120; tick++) {
            long nowNanos = tick * 50 * MILLI;
            hosts.get(tick * 7 % 3).add(waiting("r" + tick, 1, nowNanos));
            if (tick % 6 == 5) {
                startedOnTime.addAll(startFive(hosts, tick / 6, nowNanos));
            }
        }
        // Nine in ten of the room go to requests on time; each host by itself gave them eight.
        assertThat(startedOnTime).hasSizeGreaterThanOrEqualTo(95);
        assertThat(startedOnTime.stream().filter(onTime -> onTime).count())
                .isGreaterThanOrEqualTo(90);
    }

    private static List<Boolean> startFive(List<EngineQueue> hosts, int first, long nowNanos) {
        List<Boolean> started = new ArrayList<>();
        for (int turn = 0; turn < 2 * hosts.size(); turn++) {
            EngineQueue queue = hosts.get((first + turn) % hosts.size());
            boolean othersOnTime =
                    hosts.stream().anyMatch(q -> q != queue && q.onTimeTokens(nowNanos) > 0);
            Optional<EngineQueue.Waiting> next = queue.next(othersOnTime, nowNanos);
            while (started.size() < 5 && next.isPresent()) {
                queue.remove(next.get().request());
                started.add(nowNanos <= next.get().onTimeUntilNanos());
                next = queue.next(othersOnTime, nowNanos);
            }
        }
        return started;
    }

    @Example
    void whatCannotBeServedInTimeIsKnownAtOnce() {
        long shortWait = mQueue.estimateWaitNanos(MEMORY_TOKENS / 4, MEMORY_TOKENS);
        long longWait = mQueue.estimateWaitNanos(MEMORY_TOKENS, MEMORY_TOKENS);
        assertThat(mQueue.isHopeful(shortWait, PATIENCE, 0)).isTrue();
        assertThat(mQueue.isHopeful(longWait, PATIENCE, 0)).isFalse();
    }

    @Example
    void thoseThatAreLateAreNotAheadOfANewcomer() {
        add("a", 1, 0);
        assertThat(mQueue.onTimeTokens(ON_TIME)).isEqualTo(SIZE.plannedKvTokens());
        assertThat(mQueue.onTimeTokens(ON_TIME + 1)).isZero();
    }

    @Example
    void whatHasNoTimeLeftForItsRunLeavesTheQueue() {
        EngineQueue.Waiting waiting = add("a", 1, 0);
        assertThat(mQueue.hopeless(0, PLENTY_TOKENS, 3_000 * MILLI)).isEmpty();
        assertThat(mQueue.hopeless(0, PLENTY_TOKENS, 3_300 * MILLI)).containsExactly(waiting);
    }

    /** Half of the engines died: those that came in the burst before learn it while they wait. */
    @Example
    void aLateRequestWithTooMuchAheadIsToldBeforeItsTimeIsUp() {
        EngineQueue.Waiting first = add("a", 1, 0);
        EngineQueue.Waiting second = add("b", 1, 1);
        assertThat(mQueue.hopeless(90_000, MEMORY_TOKENS, 500 * MILLI)).isEmpty();
        assertThat(mQueue.hopeless(0, MEMORY_TOKENS, 2_500 * MILLI)).isEmpty();
        assertThat(mQueue.hopeless(45_000, MEMORY_TOKENS, 2_500 * MILLI)).containsExactly(second);
        assertThat(mQueue.hopeless(90_000, MEMORY_TOKENS, 2_000 * MILLI))
                .containsExactly(first, second);
    }

    @Example
    void slowStartsLeaveLessTimeToWait() {
        add("a", 1, 0);
        IntStream.range(0, 40).forEach(i -> mQueue.observeStart((i % 2 == 0 ? 400 : 800) * MILLI));
        assertThat(mQueue.hopeless(0, PLENTY_TOKENS, 2_500 * MILLI)).isEmpty();
        assertThat(mQueue.hopeless(0, PLENTY_TOKENS, 2_800 * MILLI)).hasSize(1);
    }

    @Example
    void theTimeOfARunFollowsTheLengthThatItsCallerExpects() {
        TokenCounts usual = new TokenCounts(5_000, 2_000, 500);
        IntStream.range(0, 100).forEach(i -> mQueue.observeRun(usual, 2_000 * MILLI));
        assertThat(mQueue.runNanos(usual)).isBetween(2_500 * MILLI, 2_700 * MILLI);
        assertThat(mQueue.runNanos(new TokenCounts(5_000, 2_000, 1_000)))
                .isBetween(5_000 * MILLI, 5_400 * MILLI);
        assertThat(mQueue.runNanos(new TokenCounts(5_000, 100, 1_000)))
                .isBetween(500 * MILLI, 540 * MILLI);
    }
}
