package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.entry.gateway.protocol.AnswerHead;

/** A part of an answer: its head first, then bytes of its body. All are immutable. */
public sealed interface ResponsePart {
    /** The head; exactly one comes, before any bytes. */
    record Head(AnswerHead head) implements ResponsePart {}

    /** Bytes of the body; nobody changes the array. */
    record Body(byte[] bytes) implements ResponsePart {}
}
