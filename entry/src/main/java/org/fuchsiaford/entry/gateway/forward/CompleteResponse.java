package org.fuchsiaford.entry.gateway.forward;

import java.util.List;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;

/**
 * A completely received response. Immutable; the array must not be modified.
 *
 * @param head the status and headers
 * @param body the complete body
 */
record CompleteResponse(ResponseHead head, byte[] body) {
    /** Returns the parts of the response. */
    List<ResponsePart> parts() {
        return List.of(new ResponsePart.Head(head), new ResponsePart.Body(body));
    }
}
