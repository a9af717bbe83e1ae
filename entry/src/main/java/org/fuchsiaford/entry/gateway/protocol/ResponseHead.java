package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.registry.ServerNotice;

/**
 * Status and headers of a backend server's response. Immutable; the headers must not be modified.
 *
 * @param status the HTTP status
 * @param outcome the outcome of the attempt according to the head, if the body arrives complete
 * @param framing how the server marks the end of the body
 * @param notice what the server says of itself
 * @param headers the headers to forward to the caller
 */
public record ResponseHead(
        int status,
        AttemptOutcome outcome,
        BodyFraming framing,
        ServerNotice notice,
        HttpHeaders headers) {
    /**
     * Returns whether the body of this response on a stream route consists of server-sent events:
     * if its type says so, or if it is successful and has no type.
     */
    public boolean isEventStream() {
        CharSequence type = headers.get(HttpHeaderNames.CONTENT_TYPE);
        return type == null
                ? HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS
                : HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(
                        HttpUtil.getMimeType(type));
    }
}
