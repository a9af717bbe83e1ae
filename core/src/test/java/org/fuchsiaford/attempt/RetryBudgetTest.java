package org.fuchsiaford.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Checks that the retries in every sliding window stay within the budget. */
class RetryBudgetTest {
    private static final long WINDOW_NANOS = 1_000;
    private static final long HALF_WINDOW_NANOS = 500;
    private static final long STEP_NANOS = 125;
    private static final double RATIO = 0.2;
    private static final double SLACK = 3;

    @Property(tries = 200, seed = "31")
    void retriesInEveryWindowStayWithinBudget(
            @ForAll @Size(min = 1, max = 300) List<@IntRange(max = 30) Integer> gaps,
            @ForAll @IntRange(min = 1, max = 4) int retriesPerRequest) {
        RetryBudget budget = new RetryBudget(WINDOW_NANOS, RATIO);
        List<Long> requestTimes = new ArrayList<>();
        List<Long> retryTimes = new ArrayList<>();
        long nowNanos = 0;
        for (int gap : gaps) {
            nowNanos += gap;
            budget.recordRequest(nowNanos);
            requestTimes.add(nowNanos);
            for (int i = 0; i < retriesPerRequest; i++) {
                if (budget.tryAcquireRetry(SLACK, nowNanos)) {
                    retryTimes.add(nowNanos);
                }
            }
            for (long end = nowNanos; end <= nowNanos + WINDOW_NANOS; end += STEP_NANOS) {
                long retriesInWindow = count(retryTimes, end);
                long countedRequests =
                        Math.max(
                                count(requestTimes, end),
                                count(requestTimes, end - HALF_WINDOW_NANOS));
                assertThat((double) retriesInWindow)
                        .isLessThanOrEqualTo(countedRequests * RATIO + SLACK);
            }
        }
    }

    private static long count(List<Long> timestamps, long end) {
        return timestamps.stream().filter(at -> at >= end - WINDOW_NANOS && at <= end).count();
    }
}
