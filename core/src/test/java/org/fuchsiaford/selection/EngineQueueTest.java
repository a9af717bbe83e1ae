package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;

/** Who waits, who goes first, and who is told at once that waiting is in vain. */
class EngineQueueTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long ON_TIME = 540 * MILLI;
    private static final long DEADLINE = 14_000 * MILLI;
    private static final TokenCounts SIZE = new TokenCounts(5_000, 200);
    private static final long MEMORY_TOKENS = 200_000;

    private final EngineQueue mQueue = new EngineQueue();

    private EngineQueue.Waiting add(String id, int priority, long arrivedNanos) {
        EngineQueue.Waiting waiting =
                new EngineQueue.Waiting(
                        new RequestId(id),
                        SIZE,
                        priority,
                        arrivedNanos,
                        arrivedNanos + ON_TIME,
                        arrivedNanos + DEADLINE);
        mQueue.add(waiting);
        return waiting;
    }

    @Example
    void rankGoesFirstThenAge() {
        EngineQueue.Waiting second = add("b", 1, 5);
        EngineQueue.Waiting first = add("a", 1, 4);
        EngineQueue.Waiting urgent = add("c", 0, 9);
        assertThat(mQueue.next(10)).contains(urgent);
        mQueue.remove(urgent.request());
        assertThat(mQueue.next(10)).contains(first);
        mQueue.remove(first.request());
        assertThat(mQueue.next(10)).contains(second);
    }

    /** A burst of 4 s at twice what the engines start: one in 100 ms, two arrive. */
    @Example
    void aBurstDoesNotMakeEverybodyLate() {
        int onTime = 0;
        int served = 0;
        for (int tick = 0; tick < 80; tick++) {
            long nowNanos = tick * 100 * MILLI;
            if (tick < 40) {
                add("x" + tick, 1, nowNanos);
                add("y" + tick, 1, nowNanos);
            }
            EngineQueue.Waiting next = mQueue.next(nowNanos).orElseThrow();
            mQueue.remove(next.request());
            served++;
            onTime += nowNanos <= next.onTimeUntilNanos() ? 1 : 0;
        }
        assertThat(served).isEqualTo(80);
        // First come first served would have 10 or so; all 40 starts of the burst can be on time.
        assertThat(onTime).isGreaterThanOrEqualTo(36);
        assertThat(mQueue.isEmpty()).isTrue();
    }

    @Example
    void whatCannotBeServedInTimeIsKnownAtOnce() {
        long shortWait = mQueue.estimateWaitNanos(MEMORY_TOKENS, MEMORY_TOKENS);
        long longWait = mQueue.estimateWaitNanos(4 * MEMORY_TOKENS, MEMORY_TOKENS);
        assertThat(mQueue.isHopeful(shortWait, DEADLINE, 0)).isTrue();
        assertThat(mQueue.isHopeful(longWait, DEADLINE, 0)).isFalse();
    }

    @Example
    void whatHasNoTimeLeftForItsRunLeavesTheQueue() {
        EngineQueue.Waiting waiting = add("a", 1, 0);
        assertThat(mQueue.hopeless(9_000 * MILLI)).isEmpty();
        assertThat(mQueue.hopeless(11_000 * MILLI)).containsExactly(waiting);
    }
}
