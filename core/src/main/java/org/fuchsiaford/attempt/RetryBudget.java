package org.fuchsiaford.attempt;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How many repeated sends one host may add to the load of a service.
 *
 * <p>All hosts together may send again a ratio of the first sends and a fixed slack in each window.
 * A host keeps to the ratio of its own first sends and to its part of the slack, so the sum holds
 * without any message between hosts. Only the first sends of the last half window count, so that
 * the sum also holds for each window that ends later, when some of them have left it. Invariant:
 * repeats in any window are at most the ratio of the first sends in it or in the window half a
 * window before it, plus the slack. Thread-safe.
 */
public final class RetryBudget {
    private final long mWindowNanos;
    private final double mRatio;
    private final Deque<Long> mFirstSends = new ArrayDeque<>();
    private final Deque<Long> mRepeats = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param windowNanos the sliding window
     * @param ratio repeats for each first send
     */
    public RetryBudget(long windowNanos, double ratio) {
        mWindowNanos = windowNanos;
        mRatio = ratio;
    }

    /** Notes the first send of a request. */
    public synchronized void recordRequest(long nowNanos) {
        expire(mFirstSends, mWindowNanos / 2, nowNanos);
        mFirstSends.addLast(nowNanos);
    }

    /**
     * Takes one repeat if it fits.
     *
     * @param slack this host's part of the fixed slack, in sends a window
     * @return whether the repeat may be sent
     */
    public synchronized boolean tryAcquireRetry(double slack, long nowNanos) {
        if (!canRetry(slack, nowNanos)) {
            return false;
        }
        mRepeats.addLast(nowNanos);
        return true;
    }

    /** Returns whether a repeat would fit. */
    public synchronized boolean canRetry(double slack, long nowNanos) {
        expire(mFirstSends, mWindowNanos / 2, nowNanos);
        expire(mRepeats, mWindowNanos, nowNanos);
        return mRepeats.size() + 1 <= mFirstSends.size() * mRatio + slack;
    }

    private static void expire(Deque<Long> sends, long lifeNanos, long nowNanos) {
        while (!sends.isEmpty() && nowNanos - sends.peekFirst() > lifeNanos) {
            sends.removeFirst();
        }
    }
}
