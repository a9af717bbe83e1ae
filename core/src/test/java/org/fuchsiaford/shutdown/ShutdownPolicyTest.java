package org.fuchsiaford.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Which requests a stopping host still sends. */
class ShutdownPolicyTest {
    private static final long END = seconds(10);
    private static final long LEAVE = seconds(8);

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }

    private static long latestSendSeconds(long deadlineSeconds, OptionalLong longestNanos) {
        return latestSendSeconds(deadlineSeconds, longestNanos, LEAVE);
    }

    private static long latestSendSeconds(
            long deadlineSeconds, OptionalLong longestNanos, long leaveNanos) {
        return TimeUnit.NANOSECONDS.toSeconds(
                ShutdownPolicy.latestSendNanos(
                        seconds(deadlineSeconds), longestNanos, 0, leaveNanos, END));
    }

    /** Then only a deadline proves that a request ends in time; what was quick lately does not. */
    @Property
    void onceCallersCanUseAnotherHostOnlyRequestsAreSentThatEndInTimeForCertain(
            @ForAll @IntRange(min = 11, max = 20) int deadline,
            @ForAll @IntRange(max = 12) int longest,
            @ForAll @IntRange(max = 9) int leave) {
        assertThat(latestSendSeconds(deadline, OptionalLong.of(seconds(longest)), seconds(leave)))
                .isLessThanOrEqualTo(leave);
        assertThat(latestSendSeconds(10, OptionalLong.of(seconds(longest)), seconds(leave)))
                .isEqualTo(10);
    }

    @Property
    void aRequestWhoseDeadlinePassesBeforeTheEndIsSentAtAnyTime(
            @ForAll @IntRange(max = 10) int deadline, @ForAll @IntRange(max = 10) int longest) {
        assertThat(latestSendSeconds(deadline, OptionalLong.of(seconds(longest))))
                .isEqualTo(deadline);
        assertThat(latestSendSeconds(deadline, OptionalLong.empty())).isEqualTo(deadline);
    }

    @Property
    void noRequestIsSentThatWouldNotEndAfterHalfTheLongestDurationMore(
            @ForAll @IntRange(min = 11, max = 20) int deadline,
            @ForAll @IntRange(min = 1, max = 12) int longest) {
        assertThat(latestSendSeconds(deadline, OptionalLong.of(seconds(longest))))
                .isLessThanOrEqualTo((20 - 3L * longest) / 2);
    }

    @Example
    void aShortRequestWithALongDeadlineIsSentWhileThereIsTime() {
        assertThat(latestSendSeconds(20, OptionalLong.of(seconds(1)))).isEqualTo(7);
        assertThat(latestSendSeconds(20, OptionalLong.of(seconds(4)))).isEqualTo(4);
    }

    @Example
    void withoutAnyDurationNothingIsSentAfterTheStop() {
        assertThat(latestSendSeconds(11, OptionalLong.empty())).isZero();
    }
}
