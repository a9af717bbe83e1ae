package org.fuchsiaford.entry.http;

import java.util.UUID;
import java.util.regex.Pattern;
import org.fuchsiaford.request.RequestId;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Gives each request an id: the caller's, if it sent a usable one. Stateless, hence thread-safe.
 */
final class RequestIds {
    private static final Pattern USABLE = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private RequestIds() {}

    static RequestId of(HttpServerRequest request) {
        String sent = request.requestHeaders().get("X-Request-Id");
        boolean usable = sent != null && USABLE.matcher(sent).matches();
        // The caller's id is only a part, since two callers may choose the same.
        String unique = UUID.randomUUID().toString().substring(0, 13);
        return new RequestId(usable ? sent + "-" + unique : unique);
    }
}
