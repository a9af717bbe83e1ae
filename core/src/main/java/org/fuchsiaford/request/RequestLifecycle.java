package org.fuchsiaford.request;

import org.fuchsiaford.failure.RunState;

/**
 * The lifecycle of one request at its entry host.
 *
 * <p>Invariants: the state only advances, except that a failed attempt returns a request to
 * admitted if it may be attempted again; a request is answered at most once; a non-repeatable
 * request that a backend server may have received is never sent again and never reported as not
 * run. Thread-safe.
 */
public final class RequestLifecycle {
    private final boolean mRepeatable;
    private final long mDeadlineNanos;
    private final int mMaxAttempts;
    private RequestState mState = RequestState.RECEIVED;
    private boolean mMayHaveRun;
    private int mAttempts;

    /**
     * Creates the lifecycle of a received request.
     *
     * @param repeatable whether the request may be executed more than once
     * @param deadlineNanos the time from which no further attempt starts, in nanoseconds on the
     *     same clock as the time passed to {@link #retry}
     * @param maxAttempts the maximum number of times that the request is placed on a backend server
     */
    public RequestLifecycle(boolean repeatable, long deadlineNanos, int maxAttempts) {
        mRepeatable = repeatable;
        mDeadlineNanos = deadlineNanos;
        mMaxAttempts = maxAttempts;
    }

    /** Moves the request from received to admitted. */
    public synchronized void admit() {
        transition(RequestState.RECEIVED, RequestState.ADMITTED);
    }

    /** Moves the request from admitted to placed and counts the attempt. */
    public synchronized void place() {
        transition(RequestState.ADMITTED, RequestState.PLACED);
        mAttempts++;
    }

    /** Moves the request from placed to sent; from now on a backend server may receive it. */
    public synchronized void send() {
        transition(RequestState.PLACED, RequestState.SENT);
        mMayHaveRun = true;
    }

    /**
     * Records that the attempt failed and determines whether another attempt is allowed.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return whether the request was returned to admitted and may be placed again
     */
    public synchronized boolean retry(long nowNanos) {
        boolean attempted = mState == RequestState.PLACED || mState == RequestState.SENT;
        boolean allowed = mRepeatable || !mMayHaveRun;
        boolean inTime = nowNanos - mDeadlineNanos < 0;
        if (!attempted || !allowed || !inTime || mAttempts >= mMaxAttempts) {
            return false;
        }
        mState = RequestState.ADMITTED;
        return true;
    }

    /** Marks the request as answered; returns false if it had already been answered. */
    public synchronized boolean tryAnswer() {
        boolean first = mState != RequestState.ANSWERED;
        mState = RequestState.ANSWERED;
        return first;
    }

    /** Returns what an error response at this point must report about whether the request ran. */
    public synchronized RunState runState() {
        return mMayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
    }

    /** Returns the current state. */
    public synchronized RequestState state() {
        return mState;
    }

    private void transition(RequestState from, RequestState to) {
        if (mState != from) {
            throw new IllegalStateException(
                    "cannot change the request state from " + mState + " to " + to);
        }
        mState = to;
    }
}
