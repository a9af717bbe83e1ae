package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.entry.gateway.protocol.ResponseHead;

/** A part of an answer: its head first, then bytes of its body. All are immutable. */
public sealed interface AnswerPart {
    /** The head; exactly one comes, before any bytes. */
    record Head(ResponseHead head) implements AnswerPart {}

    /** Bytes of the body; nobody changes the array. */
    record Bytes(byte[] bytes) implements AnswerPart {}
}
