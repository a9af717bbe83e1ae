package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/** How the sender of an HTTP message marks the end of its body. Immutable. */
public enum BodyFraming {
    /** The head contains the length. */
    LENGTH,
    /** The last chunk is marked. */
    CHUNKED,
    /** The body ends with its connection, so that a truncated one may look complete. */
    CONNECTION_CLOSE;

    /** Returns the framing that the headers of a response declare. */
    public static BodyFraming of(HttpHeaders headers) {
        if (headers.containsValue(
                HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)) {
            return CHUNKED;
        }
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CONNECTION_CLOSE;
    }
}
