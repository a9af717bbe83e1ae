package org.fuchsiaford.failure;

/**
 * Base class of the checked exceptions. Each carries the processing step that failed and the remote
 * side of that step.
 *
 * <p>Invariant: step and remote are never null. Immutable apart from the stack trace.
 */
public abstract class FuchsiafordException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Step mStep;
    private final transient RemoteName mRemote;

    /**
     * Creates an exception.
     *
     * @param step the step that failed
     * @param remote the remote side of that step
     * @param message the description of the error, to which step and remote are prepended
     */
    protected FuchsiafordException(Step step, RemoteName remote, String message) {
        this(step, remote, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param step the step that failed
     * @param remote the remote side of that step
     * @param message the description of the error, to which step and remote are prepended
     * @param cause the underlying exception, or null
     */
    protected FuchsiafordException(Step step, RemoteName remote, String message, Throwable cause) {
        super(step + " at " + remote.value() + ": " + message, cause);
        mStep = step;
        mRemote = remote;
    }

    /** Returns the step that failed. */
    public final Step step() {
        return mStep;
    }

    /** Returns the remote side of the step. */
    public final RemoteName remote() {
        return mRemote;
    }
}
