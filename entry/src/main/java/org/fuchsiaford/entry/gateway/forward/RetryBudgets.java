package org.fuchsiaford.entry.gateway.forward;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.fuchsiaford.attempt.RetryBudget;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.time.Ticker;

/**
 * The retry budget of each service, this host's part of it. Thread-safe.
 *
 * <p>Invariant: the parts of all hosts add up to at most the whole, whatever they know of each
 * other, as long as no host counts fewer hosts than there are.
 */
public final class RetryBudgets {
    /** Part of the ratio that is used, since callers' requests may fail before they are counted. */
    private static final double SAFE_PART = 0.8;

    /** The slack is shared as if there were at least so many hosts; some may not be known yet. */
    private static final int FEWEST_HOSTS = 6;

    private final Map<ServiceId, RetryBudget> mBudgets = new ConcurrentHashMap<>();
    private final long mWindowNanos;
    private final double mRatio;
    private final double mSlack;
    private final IntSupplier mHosts;
    private final Ticker mTicker;

    /**
     * Creates budgets.
     *
     * @param ratio repeats for each request, over all hosts
     * @param slack repeats beyond that in a window, over all hosts
     * @param hosts how many hosts share them
     */
    public RetryBudgets(
            long windowMillis, double ratio, double slack, IntSupplier hosts, Ticker ticker) {
        mWindowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
        mRatio = ratio * SAFE_PART;
        mSlack = slack * SAFE_PART;
        mHosts = hosts;
        mTicker = ticker;
    }

    private RetryBudget of(ServiceId service) {
        return mBudgets.computeIfAbsent(service, id -> new RetryBudget(mWindowNanos, mRatio));
    }

    /** Counts the first send of a request. */
    void recordRequest(ServiceId service) {
        of(service).recordRequest(mTicker.nowNanos());
    }

    /** Takes one repeat if it fits. */
    boolean tryAcquireRetry(ServiceId service) {
        return of(service).tryAcquireRetry(ownSlack(), mTicker.nowNanos());
    }

    /** Returns whether a repeat would fit. */
    boolean canRetry(ServiceId service) {
        return of(service).canRetry(ownSlack(), mTicker.nowNanos());
    }

    private double ownSlack() {
        return mSlack / Math.max(FEWEST_HOSTS, mHosts.getAsInt());
    }
}
