package org.fuchsiaford.store.http;

/**
 * Thrown when a body exceeds its limit. Unchecked, since reactive operators cannot throw checked
 * exceptions. Immutable.
 */
public final class BodyTooLargeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a limit in bytes. */
    public BodyTooLargeException(long maxBytes) {
        super("the body exceeds " + maxBytes + " bytes");
    }
}
