package org.fuchsiaford.host;

import org.fuchsiaford.bundle.Generation;

/**
 * Answers a request for a promise. Immutable.
 *
 * @param outcome whether the promise is given
 * @param generation the newest generation that the member knows of
 */
public record PromiseReply(Outcome outcome, Generation generation) {
    /** Whether a promise is given, and why not. */
    public enum Outcome {
        GRANTED,
        /** The member knows of a newer generation. */
        NEWER_GENERATION,
        /** The member knows of a newer incarnation of the slot. */
        NEWER_INCARNATION,
        /** The member's own lease is not valid, so it may not promise. */
        MEMBER_NOT_SERVING
    }
}
