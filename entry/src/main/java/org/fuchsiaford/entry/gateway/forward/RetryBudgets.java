package org.fuchsiaford.entry.gateway.forward;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.fuchsiaford.attempt.RetryBudget;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.time.Ticker;

/**
 * This host's share of the retry budget of each service. Thread-safe.
 *
 * <p>Invariant: the shares of all hosts add up to at most the overall budget, without communication
 * between the hosts, as long as no host underestimates the number of hosts.
 */
public final class RetryBudgets {
    /**
     * Fraction of ratio and slack that is used, since requests of callers may fail before they are
     * counted.
     */
    private static final double SAFETY_FACTOR = 0.8;

    /** Minimum number of hosts that the slack is divided by; some may not be known yet. */
    private static final int MIN_HOSTS = 6;

    private final Map<ServiceId, RetryBudget> mBudgets = new ConcurrentHashMap<>();
    private final long mWindowNanos;
    private final double mRatio;
    private final double mSlack;
    private final IntSupplier mHostCount;
    private final Ticker mTicker;

    /**
     * Creates the budgets.
     *
     * @param windowMillis the length of the sliding window, in milliseconds
     * @param ratio the number of retries per request, over all hosts
     * @param slack the number of additional retries per window, over all hosts
     * @param hostCount the number of hosts that share the budgets
     */
    public RetryBudgets(
            long windowMillis, double ratio, double slack, IntSupplier hostCount, Ticker ticker) {
        mWindowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
        mRatio = ratio * SAFETY_FACTOR;
        mSlack = slack * SAFETY_FACTOR;
        mHostCount = hostCount;
        mTicker = ticker;
    }

    private RetryBudget budget(ServiceId service) {
        return mBudgets.computeIfAbsent(service, id -> new RetryBudget(mWindowNanos, mRatio));
    }

    /** Records the first attempt of a request. */
    void recordRequest(ServiceId service) {
        budget(service).recordRequest(mTicker.nowNanos());
    }

    /** Consumes budget for one retry; returns whether there was enough left. */
    boolean tryAcquireRetry(ServiceId service) {
        return budget(service).tryAcquireRetry(slackShare(), mTicker.nowNanos());
    }

    /** Returns whether the budget allows a retry, without consuming it. */
    boolean canRetry(ServiceId service) {
        return budget(service).canRetry(slackShare(), mTicker.nowNanos());
    }

    private double slackShare() {
        return mSlack / Math.max(MIN_HOSTS, mHostCount.getAsInt());
    }
}
