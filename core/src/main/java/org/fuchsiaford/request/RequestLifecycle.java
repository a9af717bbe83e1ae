package org.fuchsiaford.request;

import org.fuchsiaford.failure.RunState;

/**
 * The life cycle of one request at its entry host.
 *
 * <p>Invariants: states only move forward, except that a repeatable request returns from sent to
 * admitted for another attempt; it is answered at most once; once a non-repeatable request may have
 * been seen by a backend server it is never sent again and never said not to have run. Thread-safe.
 */
public final class RequestLifecycle {
    private final boolean mRepeatable;
    private final long mDeadlineNanos;
    private final int mMaxAttempts;
    private RequestState mState = RequestState.RECEIVED;
    private boolean mMayHaveRun;
    private int mAttempts;

    /**
     * Starts a request.
     *
     * @param repeatable whether it may run more than once
     * @param deadlineNanos when no further attempt starts
     * @param maxAttempts how many backend servers it may be placed on
     */
    public RequestLifecycle(boolean repeatable, long deadlineNanos, int maxAttempts) {
        mRepeatable = repeatable;
        mDeadlineNanos = deadlineNanos;
        mMaxAttempts = maxAttempts;
    }

    /** Moves on from received to admitted. */
    public synchronized void admit() {
        move(RequestState.RECEIVED, RequestState.ADMITTED);
    }

    /** Moves on from admitted to placed. */
    public synchronized void place() {
        move(RequestState.ADMITTED, RequestState.PLACED);
        mAttempts++;
    }

    /** Notes that from now on a backend server may see the request. */
    public synchronized void send() {
        move(RequestState.PLACED, RequestState.SENT);
        mMayHaveRun = true;
    }

    /**
     * Notes that the attempt failed, and decides whether another one may follow.
     *
     * @param nowNanos the present time
     * @return whether the request is back in admitted and may be placed again
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

    /** Claims the one answer; returns false if the request has been answered already. */
    public synchronized boolean tryAnswer() {
        boolean first = mState != RequestState.ANSWERED;
        mState = RequestState.ANSWERED;
        return first;
    }

    /** Returns what a refusal now must say about whether the request ran. */
    public synchronized RunState runState() {
        return mMayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
    }

    /** Returns the present state. */
    public synchronized RequestState state() {
        return mState;
    }

    private void move(RequestState from, RequestState to) {
        if (mState != from) {
            throw new IllegalStateException("cannot move to " + to + " from " + mState);
        }
        mState = to;
    }
}
