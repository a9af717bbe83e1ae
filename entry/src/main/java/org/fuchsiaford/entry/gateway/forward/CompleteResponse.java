package org.fuchsiaford.entry.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;

/**
 * A completely received response. Immutable; the array must not be modified.
 *
 * @param head the status and headers
 * @param body the complete body
 */
record CompleteResponse(ResponseHead head, byte[] body) {
    /** Joins the parts of a response; empty if the head is missing. */
    static Optional<CompleteResponse> of(List<ResponsePart> parts) {
        if (parts.isEmpty() || !(parts.get(0) instanceof ResponsePart.Head first)) {
            return Optional.empty();
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        parts.stream()
                .filter(ResponsePart.Body.class::isInstance)
                .map(ResponsePart.Body.class::cast)
                .forEach(part -> body.writeBytes(part.bytes()));
        return Optional.of(new CompleteResponse(first.head(), body.toByteArray()));
    }
}
