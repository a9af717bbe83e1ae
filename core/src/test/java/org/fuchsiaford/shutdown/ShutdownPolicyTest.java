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

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }

    private static boolean endsInTime(long nowNanos, long deadlineNanos, OptionalLong longest) {
        return ShutdownPolicy.endsInTime(nowNanos, deadlineNanos, longest, END);
    }

    @Property
    void aRequestWhoseDeadlinePassesBeforeTheEndIsSent(
            @ForAll @IntRange(max = 10) int now, @ForAll @IntRange(max = 10) int deadline) {
        assertThat(endsInTime(seconds(now), seconds(deadline), OptionalLong.empty())).isTrue();
    }

    @Property
    void noRequestIsSentThatWouldNotEndAtTwiceTheLongestDuration(
            @ForAll @IntRange(max = 12) int now, @ForAll @IntRange(min = 1, max = 12) int longest) {
        boolean fits = now + 2 * longest <= 10;
        boolean sent = endsInTime(seconds(now), seconds(30), OptionalLong.of(seconds(longest)));
        assertThat(sent)
                .satisfiesAnyOf(s -> assertThat(s).isFalse(), s -> assertThat(fits).isTrue());
    }

    @Example
    void aShortRequestWithALongDeadlineIsSentWhileThereIsTime() {
        OptionalLong longest = OptionalLong.of(seconds(1));
        assertThat(endsInTime(seconds(6), seconds(20), longest)).isTrue();
        assertThat(endsInTime(seconds(7), seconds(20), longest)).isFalse();
    }

    @Example
    void withoutAnyDurationOnlyTheDeadlineCounts() {
        assertThat(endsInTime(0, seconds(11), OptionalLong.empty())).isFalse();
    }
}
