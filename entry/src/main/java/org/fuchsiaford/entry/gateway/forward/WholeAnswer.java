package org.fuchsiaford.entry.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;

/**
 * An answer that has come whole. Immutable; nobody changes the array.
 *
 * @param head its head
 * @param body its body
 */
record WholeAnswer(ResponseHead head, byte[] body) {
    /** Joins the parts of an answer; nothing if its head is missing. */
    static Optional<WholeAnswer> of(List<AnswerPart> parts) {
        if (parts.isEmpty() || !(parts.get(0) instanceof AnswerPart.Head first)) {
            return Optional.empty();
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        parts.stream()
                .filter(AnswerPart.Bytes.class::isInstance)
                .map(AnswerPart.Bytes.class::cast)
                .forEach(part -> body.writeBytes(part.bytes()));
        return Optional.of(new WholeAnswer(first.head(), body.toByteArray()));
    }
}
