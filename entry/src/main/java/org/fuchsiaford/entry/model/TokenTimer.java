package org.fuchsiaford.entry.model;

/** Measures the time between the tokens of one stream. Not thread-safe. */
final class TokenTimer {
    private long mLastNanos;
    private int mTokens;

    TokenTimer(long startNanos) {
        mLastNanos = startNanos;
    }

    /** Records a token; returns the time since the previous token or the start, in nanoseconds. */
    long recordToken(long nowNanos) {
        long elapsedNanos = nowNanos - mLastNanos;
        mLastNanos = nowNanos;
        mTokens++;
        return elapsedNanos;
    }

    boolean isFirstToken() {
        return mTokens == 1;
    }
}
