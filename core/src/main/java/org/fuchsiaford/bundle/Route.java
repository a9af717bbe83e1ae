package org.fuchsiaford.bundle;

import java.util.List;
import org.fuchsiaford.backend.ServiceId;

/**
 * A route that forwards client requests to a plain service. Immutable.
 *
 * @param path the path prefix that the route matches, in whole segments
 * @param methods the accepted HTTP methods
 * @param service the plain service that handles the requests
 * @param repeatable whether a request may be executed more than once
 * @param open whether the route accepts requests without a key
 * @param costTokens the cost of a request, in tokens of the workspace's rate limit
 * @param timeoutMillis the response timeout, in milliseconds
 */
public record Route(
        String path,
        List<String> methods,
        ServiceId service,
        boolean repeatable,
        boolean open,
        long costTokens,
        long timeoutMillis) {

    /** Returns whether the route matches a request path. */
    public boolean matches(String requestPath) {
        return requestPath.equals(path) || requestPath.startsWith(path + "/");
    }
}
