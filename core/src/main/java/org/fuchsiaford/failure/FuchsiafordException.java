package org.fuchsiaford.failure;

/**
 * Root of the checked errors. Each carries the step and the remote side at which it arose.
 *
 * <p>Invariant: step and remote are never null. Immutable apart from the stack trace.
 */
public abstract class FuchsiafordException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Step mStep;
    private final transient RemoteName mRemote;

    /**
     * Creates an error.
     *
     * @param step the step during which it arose
     * @param remote the other side of that step
     * @param message what went wrong, without step and remote
     */
    protected FuchsiafordException(Step step, RemoteName remote, String message) {
        this(step, remote, message, null);
    }

    /**
     * Creates an error with a cause.
     *
     * @param step the step during which it arose
     * @param remote the other side of that step
     * @param message what went wrong, without step and remote
     * @param cause the underlying error, or null
     */
    protected FuchsiafordException(Step step, RemoteName remote, String message, Throwable cause) {
        super(step + " at " + remote.value() + ": " + message, cause);
        mStep = step;
        mRemote = remote;
    }

    /** Returns the step during which the error arose. */
    public final Step step() {
        return mStep;
    }

    /** Returns the other side of the step. */
    public final RemoteName remote() {
        return mRemote;
    }
}
