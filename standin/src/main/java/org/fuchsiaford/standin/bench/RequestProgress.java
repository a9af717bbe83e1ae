package org.fuchsiaford.standin.bench;

import java.util.concurrent.TimeUnit;

/** The progress of a request over all its attempts. Not thread-safe. */
final class RequestProgress {
    private final Workload.Request mRequest;
    private int mAttempts;
    private int mDelivered;
    private long mFirstTokenNanos = -1;
    private long mLastTokenNanos;
    private long mLongestGapNanos;
    private boolean mRefused;
    private boolean mFailed;

    RequestProgress(Workload.Request request) {
        mRequest = request;
    }

    Workload.Request request() {
        return mRequest;
    }

    /** Counts an attempt and returns its number, starting at one. */
    int nextAttempt() {
        return ++mAttempts;
    }

    /** Returns the number of output tokens delivered to the client. */
    int delivered() {
        return mDelivered;
    }

    int tokensLeft() {
        return mRequest.outputTokens() - mDelivered;
    }

    /** Records the delivery of an output token. */
    void deliver(long nowNanos) {
        if (mFirstTokenNanos < 0) {
            mFirstTokenNanos = nowNanos;
        } else {
            mLongestGapNanos = Math.max(mLongestGapNanos, nowNanos - mLastTokenNanos);
        }
        mLastTokenNanos = nowNanos;
        mDelivered++;
    }

    void refuse() {
        mRefused = true;
    }

    void fail() {
        mFailed = true;
    }

    boolean isRefused() {
        return mRefused;
    }

    boolean isFailed() {
        return mFailed;
    }

    boolean isComplete() {
        return mDelivered == mRequest.outputTokens();
    }

    /** Returns the time to first token. */
    long firstTokenMicros() {
        return TimeUnit.NANOSECONDS.toMicros(mFirstTokenNanos - mRequest.arrivalNanos());
    }

    /** Returns the mean time between output tokens. */
    long betweenTokensMicros() {
        long tokens = Math.max(mDelivered - 1, 1);
        return TimeUnit.NANOSECONDS.toMicros((mLastTokenNanos - mFirstTokenNanos) / tokens);
    }

    /** Returns whether the response was complete and met both latency targets. */
    boolean isGood(long firstTokenTargetNanos, long betweenTokensTargetNanos) {
        return isComplete()
                && firstTokenMicros() * 1_000 <= firstTokenTargetNanos
                && betweenTokensMicros() * 1_000 <= betweenTokensTargetNanos;
    }
}
