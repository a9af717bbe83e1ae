package org.fuchsiaford.store;

import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/**
 * Thrown if the platform's key-value service does not respond or responds with an error. A write
 * may nevertheless have taken effect. Immutable.
 */
public final class StoreException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; the cause may be null. */
    public StoreException(Step step, String message, Throwable cause) {
        super(step, RemoteName.STORE, message, cause);
    }
}
