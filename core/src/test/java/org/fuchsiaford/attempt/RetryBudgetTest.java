package org.fuchsiaford.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Repeats in every sliding window. */
class RetryBudgetTest {
    private static final long WINDOW_NANOS = 1_000;
    private static final long HALF_NANOS = 500;
    private static final long STEP_NANOS = 125;
    private static final double RATIO = 0.2;
    private static final double SLACK = 3;

    @Property(tries = 200, seed = "31")
    void noWindowHasMoreRepeatsThanItsFirstSendsAllow(
            @ForAll @Size(min = 1, max = 300) List<@IntRange(max = 30) Integer> gaps,
            @ForAll @IntRange(min = 1, max = 4) int repeatsEach) {
        RetryBudget budget = new RetryBudget(WINDOW_NANOS, RATIO);
        List<Long> firsts = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        long nowNanos = 0;
        for (int gap : gaps) {
            nowNanos += gap;
            budget.recordRequest(nowNanos);
            firsts.add(nowNanos);
            for (int i = 0; i < repeatsEach; i++) {
                if (budget.tryAcquireRetry(SLACK, nowNanos)) {
                    repeats.add(nowNanos);
                }
            }
            for (long end = nowNanos; end <= nowNanos + WINDOW_NANOS; end += STEP_NANOS) {
                long inWindow = count(repeats, end);
                long requests = Math.max(count(firsts, end), count(firsts, end - HALF_NANOS));
                assertThat((double) inWindow).isLessThanOrEqualTo(requests * RATIO + SLACK);
            }
        }
    }

    private static long count(List<Long> sends, long end) {
        return sends.stream().filter(at -> at >= end - WINDOW_NANOS && at <= end).count();
    }
}
