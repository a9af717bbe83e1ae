package org.fuchsiaford.entry.gateway.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.selection.StreamPace;

/** Guards against a wait for the first event that is taken for a pause between events. */
class StreamGapsTest {
    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Example
    void theLongestTimeBetweenEventsCountsAndTheWaitForTheFirstDoesNot() {
        StreamGaps gaps = new StreamGaps();
        gaps.record(millis(900));
        assertThat(gaps.longest()).isEmpty();
        gaps.record(millis(950));
        gaps.record(millis(1_300));
        gaps.record(millis(1_350));
        assertThat(gaps.pace()).isEqualTo(new StreamPace(millis(150), millis(350)));
        assertThat(gaps.longest()).contains(new StreamGaps.Gap(millis(350), millis(1_300)));
    }
}
