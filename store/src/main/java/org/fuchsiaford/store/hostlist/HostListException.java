package org.fuchsiaford.store.hostlist;

import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** The platform's list of hosts cannot be had. Immutable. */
public final class HostListException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    /** Creates an error. */
    public HostListException(Throwable cause) {
        super(
                Step.READ_STORE,
                new RemoteName("host list"),
                "no usable answer: " + cause.getMessage(),
                cause);
    }
}
