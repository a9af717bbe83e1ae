package org.fuchsiaford.host;

import org.fuchsiaford.bundle.Generation;

/**
 * A grantor's reply to a {@link PromiseRequest}. Immutable.
 *
 * @param outcome whether the promise is given
 * @param generation the newest generation known to the grantor
 */
public record PromiseReply(Outcome outcome, Generation generation) {
    /** Whether a promise is given, or else why not. */
    public enum Outcome {
        GRANTED,
        /** The grantor knows of a newer generation. */
        NEWER_GENERATION,
        /** The grantor knows of a newer incarnation of the slot. */
        NEWER_INCARNATION,
        /** The grantor's own lease is not valid, so it must not give promises. */
        MEMBER_NOT_SERVING
    }
}
