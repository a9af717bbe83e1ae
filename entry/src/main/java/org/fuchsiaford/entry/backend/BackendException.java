package org.fuchsiaford.entry.backend;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** A call to a backend server failed. Immutable. */
public final class BackendException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final Kind mKind;

    /** The type of the failure. */
    public enum Kind {
        /** The request was not sent, so the server cannot have received it. */
        UNREACHABLE,
        /** The server declined the request because it is overloaded or unavailable. */
        REFUSED,
        /** The request may have been processed; the connection failed or the server timed out. */
        BROKEN
    }

    /**
     * Creates an exception.
     *
     * @param step the step that failed
     * @param server the server that was called
     * @param kind the type of the failure
     * @param message the description of the failure
     * @param cause the underlying exception, or null
     */
    public BackendException(
            Step step, BackendServerId server, Kind kind, String message, Throwable cause) {
        super(step, new RemoteName(server.value()), message, cause);
        mKind = kind;
    }

    /** Returns the type of the failure. */
    public Kind kind() {
        return mKind;
    }
}
