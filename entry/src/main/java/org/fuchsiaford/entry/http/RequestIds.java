package org.fuchsiaford.entry.http;

import java.util.UUID;
import java.util.regex.Pattern;
import org.fuchsiaford.request.RequestId;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Assigns an ID to each request, prefixed with that of the client if it sent a valid one.
 * Stateless, hence thread-safe.
 */
final class RequestIds {
    private static final Pattern VALID_CLIENT_ID = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private RequestIds() {}

    static RequestId of(HttpServerRequest request) {
        String clientId = request.requestHeaders().get("X-Request-Id");
        boolean valid = clientId != null && VALID_CLIENT_ID.matcher(clientId).matches();
        // The client's ID is only a prefix, since two clients may choose the same one.
        String suffix = UUID.randomUUID().toString().substring(0, 13);
        return new RequestId(valid ? clientId + "-" + suffix : suffix);
    }
}
