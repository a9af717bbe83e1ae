package org.fuchsiaford.entry.model;

/** Measures the time from token to token of one stream. Not thread-safe. */
final class TokenTimer {
    private long mLastNanos;
    private int mTicks;

    TokenTimer(long startNanos) {
        mLastNanos = startNanos;
    }

    /** Notes a token; returns the time since the one before or the start, in nanoseconds. */
    long recordToken(long nowNanos) {
        long elapsedNanos = nowNanos - mLastNanos;
        mLastNanos = nowNanos;
        mTicks++;
        return elapsedNanos;
    }

    boolean isFirstToken() {
        return mTicks == 1;
    }
}
