package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.entry.gateway.protocol.ResponseHead;

/** A part of a response: the head first, then chunks of the body. All are immutable. */
public sealed interface ResponsePart {
    /** The status and headers. A response has exactly one head, before any body. */
    record Head(ResponseHead head) implements ResponsePart {}

    /** A chunk of the body. The array must not be modified. */
    record Body(byte[] bytes) implements ResponsePart {}
}
