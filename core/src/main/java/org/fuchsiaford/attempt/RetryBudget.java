package org.fuchsiaford.attempt;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that one host may add to the load of a service.
 *
 * <p>In each window, the retries of all hosts together may not exceed a ratio of the requests sent
 * for the first time plus a fixed slack. Each host limits itself to the ratio of its own requests
 * and to its share of the slack, so the overall limit holds without communication between hosts.
 * Only the requests of the last half window count, so that the limit also holds for windows that
 * end later, when some of these requests have expired.
 *
 * <p>Invariant: the retries in any window are at most the slack plus the ratio times the requests
 * in that window or in the window that ends half a window earlier. Thread-safe.
 */
public final class RetryBudget {
    private final long mWindowNanos;
    private final double mRatio;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param windowNanos the length of the sliding window
     * @param ratio the number of retries allowed per request
     */
    public RetryBudget(long windowNanos, double ratio) {
        mWindowNanos = windowNanos;
        mRatio = ratio;
    }

    /** Records the first attempt of a request. */
    public synchronized void recordRequest(long nowNanos) {
        expire(mRequests, mWindowNanos / 2, nowNanos);
        mRequests.addLast(nowNanos);
    }

    /**
     * Consumes budget for one retry if there is enough left.
     *
     * @param slack this host's share of the fixed slack, in retries per window
     * @return whether the retry may be sent
     */
    public synchronized boolean tryAcquireRetry(double slack, long nowNanos) {
        if (!canRetry(slack, nowNanos)) {
            return false;
        }
        mRetries.addLast(nowNanos);
        return true;
    }

    /** Returns whether the budget allows a retry, without consuming it. */
    public synchronized boolean canRetry(double slack, long nowNanos) {
        expire(mRequests, mWindowNanos / 2, nowNanos);
        expire(mRetries, mWindowNanos, nowNanos);
        return mRetries.size() + 1 <= mRequests.size() * mRatio + slack;
    }

    private static void expire(Deque<Long> timestamps, long maxAgeNanos, long nowNanos) {
        while (!timestamps.isEmpty() && nowNanos - timestamps.peekFirst() > maxAgeNanos) {
            timestamps.removeFirst();
        }
    }
}
