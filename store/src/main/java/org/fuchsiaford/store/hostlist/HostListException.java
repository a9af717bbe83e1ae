package org.fuchsiaford.store.hostlist;

import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** Thrown if the platform's list of hosts is unavailable or malformed. Immutable. */
public final class HostListException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception. */
    public HostListException(Throwable cause) {
        super(
                Step.READ_STORE,
                new RemoteName("host list"),
                "no valid response: " + cause.getMessage(),
                cause);
    }
}
