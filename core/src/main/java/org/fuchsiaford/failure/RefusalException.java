package org.fuchsiaford.failure;

/**
 * Thrown when a request is refused; it becomes the error response to the client.
 *
 * <p>Invariant: {@code retryAfterMillis} is zero if a retry would not help, else positive.
 * Immutable.
 */
public final class RefusalException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final RefusalReason mReason;
    private final RunState mRunState;
    private final long mRetryAfterMillis;
    private final String mDetail;

    /**
     * Creates a refusal.
     *
     * @param reason why the request is refused
     * @param runState whether a backend server may have run the request
     * @param retryAfterMillis the delay before a retry, in milliseconds; zero for no retry
     * @param step the step that failed
     * @param remote the remote side of that step
     * @param message the description of the error for the client
     */
    public RefusalException(
            RefusalReason reason,
            RunState runState,
            long retryAfterMillis,
            Step step,
            RemoteName remote,
            String message) {
        super(step, remote, message);
        mReason = reason;
        mRunState = runState;
        mRetryAfterMillis = retryAfterMillis;
        mDetail = message;
    }

    /** Returns a refusal of a request that has not run and should not be retried unchanged. */
    public static RefusalException notRun(RefusalReason reason, Step step, String message) {
        return new RefusalException(reason, RunState.NOT_RUN, 0, step, RemoteName.SELF, message);
    }

    /** Returns a refusal of a request that has not run and may be retried after a delay. */
    public static RefusalException notRunRetry(
            RefusalReason reason, long retryAfterMillis, Step step, String message) {
        return new RefusalException(
                reason, RunState.NOT_RUN, retryAfterMillis, step, RemoteName.SELF, message);
    }

    /**
     * Returns this refusal with another run state, for a request that had earlier attempts.
     *
     * @param runState the run state over all attempts
     */
    public RefusalException withRunState(RunState runState) {
        return new RefusalException(
                mReason, runState, mRetryAfterMillis, step(), remote(), mDetail);
    }

    /** Returns why the request is refused. */
    public RefusalReason reason() {
        return mReason;
    }

    /** Returns whether a backend server may have run the request. */
    public RunState runState() {
        return mRunState;
    }

    /** Returns the delay before a retry, in milliseconds; zero for no retry. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
