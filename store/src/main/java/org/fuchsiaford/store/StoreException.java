package org.fuchsiaford.store;

import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/**
 * The platform's key-value service did not answer, or answered with an error. A write may have
 * taken effect all the same. Immutable.
 */
public final class StoreException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    /** Creates an error. */
    public StoreException(Step step, String message, Throwable cause) {
        super(step, RemoteName.STORE, message, cause);
    }
}
