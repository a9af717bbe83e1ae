package org.fuchsiaford.entry.backend;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** A backend server did not do what it was asked. Immutable. */
public final class BackendException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final Kind mKind;

    /** What a backend server did instead. */
    public enum Kind {
        /** It was never reached, so it has not seen the request. */
        UNREACHABLE,
        /** It answered that it will not do it now. */
        REFUSED,
        /** It may have begun, and broke off or fell silent. */
        BROKEN
    }

    /** Creates an error. */
    public BackendException(
            Step step, BackendServerId server, Kind kind, String message, Throwable cause) {
        super(step, new RemoteName(server.value()), message, cause);
        mKind = kind;
    }

    /** Returns what the backend server did. */
    public Kind kind() {
        return mKind;
    }
}
