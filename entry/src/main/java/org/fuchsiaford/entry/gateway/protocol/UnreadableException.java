package org.fuchsiaford.entry.gateway.protocol;

import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** Thrown when external data cannot be decoded. Immutable. */
public final class UnreadableException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the step and the remote that the data came from. */
    public UnreadableException(Step step, RemoteName remote, String message) {
        super(step, remote, message);
    }
}
