package org.fuchsiaford.bundle;

import java.util.List;
import org.fuchsiaford.backend.ServiceId;

/**
 * A route from callers to a plain service. Immutable.
 *
 * @param path the path prefix that the route matches, a whole number of segments
 * @param methods the HTTP methods that it accepts
 * @param service the plain service
 * @param repeatable whether a request may run more than once
 * @param open whether no key is needed
 * @param costTokens what a request costs, in tokens of the workspace's limit
 * @param timeoutMillis the longest wait for an answer, in milliseconds
 */
public record Route(
        String path,
        List<String> methods,
        ServiceId service,
        boolean repeatable,
        boolean open,
        long costTokens,
        long timeoutMillis) {

    /** Returns whether the route matches the path of a request. */
    public boolean matches(String requestPath) {
        return requestPath.equals(path) || requestPath.startsWith(path + "/");
    }
}
