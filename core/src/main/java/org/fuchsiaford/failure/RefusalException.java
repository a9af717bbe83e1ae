package org.fuchsiaford.failure;

/**
 * A request that gets its final answer as a refusal.
 *
 * <p>Invariant: {@code retryAfterMillis} is zero when a repeat would not help, else positive.
 * Immutable.
 */
public final class RefusalException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final RefusalReason mReason;
    private final RunState mRunState;
    private final long mRetryAfterMillis;
    private final String mExplanation;

    /**
     * Creates a refusal.
     *
     * @param reason why the request is refused
     * @param runState whether a backend server may have acted on it
     * @param retryAfterMillis when to come back, in milliseconds from now; zero for never
     * @param step the step during which it arose
     * @param remote the other side of that step
     * @param message an explanation for the caller
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
        mExplanation = message;
    }

    /** Returns a refusal of a request that has not run and need not be repeated unchanged. */
    public static RefusalException notRun(RefusalReason reason, Step step, String message) {
        return new RefusalException(reason, RunState.NOT_RUN, 0, step, RemoteName.SELF, message);
    }

    /** Returns a refusal of a request that has not run and may be repeated later. */
    public static RefusalException notRunRetry(
            RefusalReason reason, long retryAfterMillis, Step step, String message) {
        return new RefusalException(
                reason, RunState.NOT_RUN, retryAfterMillis, step, RemoteName.SELF, message);
    }

    /**
     * Returns the same refusal for a request of which an earlier attempt may have run.
     *
     * @param runState what is known of all attempts together
     */
    public RefusalException withRunState(RunState runState) {
        return new RefusalException(
                mReason, runState, mRetryAfterMillis, step(), remote(), mExplanation);
    }

    /** Returns why the request is refused. */
    public RefusalReason reason() {
        return mReason;
    }

    /** Returns whether a backend server may have acted on the request. */
    public RunState runState() {
        return mRunState;
    }

    /** Returns when to come back, in milliseconds from now; zero for never. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
