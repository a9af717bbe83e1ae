package org.fuchsiaford.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** The longest durations of requests, on a clock of the test. */
class DurationHistoryTest {
    private static final long PERIOD = DurationHistory.PERIOD_NANOS;

    /** Records enough requests, of which one takes a given time. */
    private static void record(DurationHistory history, long durationNanos, long nowNanos) {
        IntStream.range(1, DurationHistory.MIN_REQUESTS)
                .forEach(i -> history.record(Math.min(1, durationNanos), nowNanos));
        history.record(durationNanos, nowNanos);
    }

    @Example
    void aFewRequestsTellNothingOfTheLongestOnes() {
        var history = new DurationHistory();
        IntStream.range(1, DurationHistory.MIN_REQUESTS).forEach(i -> history.record(5, 0));
        assertThat(history.longestNanos(1)).isEmpty();
        history.record(5, 1);
        assertThat(history.longestNanos(1)).hasValue(5);
    }

    /** A request that was cut or given up would have taken longer still. */
    @Example
    void requestsWithoutAnAnswerMakeTheLongestLonger() {
        var history = new DurationHistory();
        IntStream.range(0, DurationHistory.MIN_REQUESTS)
                .forEach(i -> history.recordUnanswered(9, 0));
        assertThat(history.longestNanos(1)).isEmpty();
        record(history, 5, 1);
        assertThat(history.longestNanos(2)).hasValue(9);
    }

    @Example
    void nothingIsKnownWithoutRequests() {
        assertThat(new DurationHistory().longestNanos(5)).isEmpty();
    }

    @Property
    void aDurationCountsForAPeriodAndNotForMoreThanTwo(
            @ForAll @LongRange(min = 1, max = 1_000_000) long duration,
            @ForAll @LongRange(max = 100_000_000_000L) long start) {
        var history = new DurationHistory();
        record(history, duration, start);
        assertThat(history.longestNanos(start + PERIOD - 1)).hasValue(duration);
        assertThat(history.longestNanos(start + 2 * PERIOD)).isEmpty();
    }

    @Example
    void theLongestOfTwoPeriodsCounts() {
        var history = new DurationHistory();
        record(history, 10, 0);
        record(history, 5, PERIOD + 1);
        assertThat(history.longestNanos(PERIOD + 2)).hasValue(10);
        assertThat(history.longestNanos(2 * PERIOD + 2)).hasValue(5);
    }

    @Example
    void aLaterQuestionDoesNotMakeADurationCountLonger() {
        var history = new DurationHistory();
        record(history, 10, 0);
        assertThat(history.longestNanos(2 * PERIOD - 1)).hasValue(10);
        assertThat(history.longestNanos(2 * PERIOD)).isEmpty();
    }

    @Example
    void anEarlierTimeOfThisClockMayBeNegative() {
        var history = new DurationHistory();
        record(history, 10, -PERIOD);
        assertThat(history.longestNanos(-PERIOD + 1)).hasValue(10);
    }
}
