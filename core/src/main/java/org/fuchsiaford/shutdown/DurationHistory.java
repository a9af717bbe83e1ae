package org.fuchsiaford.shutdown;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The longest duration of the requests of one route lately.
 *
 * <p>Invariant: a duration counts for at least {@link #PERIOD_NANOS} and at most twice as long;
 * nothing is known from fewer than {@link #MIN_REQUESTS} answered requests. Thread-safe.
 */
public final class DurationHistory {
    /** Covers a few of the longest requests at light load. */
    static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** With fewer requests, it is likely that none of the long ones is among them. */
    static final int MIN_REQUESTS = 20;

    private long mLongestNanos;
    private long mFormerLongestNanos;
    private int mRequests;
    private int mFormerRequests;
    private long mPeriodStartNanos;
    private boolean mStarted;

    /** Records the duration of a request that was answered in full. */
    public synchronized void record(long durationNanos, long nowNanos) {
        recordUnanswered(durationNanos, nowNanos);
        mRequests++;
    }

    /** Records the duration of a request that had no full answer, and would have taken longer. */
    public synchronized void recordUnanswered(long durationNanos, long nowNanos) {
        startPeriod(nowNanos);
        mLongestNanos = Math.max(mLongestNanos, durationNanos);
    }

    /** Returns the longest duration, or nothing if too few requests were answered lately. */
    public synchronized OptionalLong longestNanos(long nowNanos) {
        startPeriod(nowNanos);
        return mRequests + mFormerRequests < MIN_REQUESTS
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(mLongestNanos, mFormerLongestNanos));
    }

    private void startPeriod(long nowNanos) {
        if (!mStarted) {
            mStarted = true;
            mPeriodStartNanos = nowNanos;
        }
        long periods = (nowNanos - mPeriodStartNanos) / PERIOD_NANOS;
        if (periods <= 0) {
            return;
        }
        mFormerLongestNanos = periods == 1 ? mLongestNanos : 0;
        mFormerRequests = periods == 1 ? mRequests : 0;
        mLongestNanos = 0;
        mRequests = 0;
        mPeriodStartNanos += periods * PERIOD_NANOS;
    }
}
