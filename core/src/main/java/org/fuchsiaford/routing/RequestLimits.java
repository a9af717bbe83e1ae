package org.fuchsiaford.routing;

/**
 * Limits on the requests that clients may send. Immutable.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the maximum time from the first byte of a request to the end of its
 *     headers, in milliseconds
 */
public record RequestLimits(int maxBodyBytes, long headerTimeoutMillis) {
    /** Limits for a host that has not read a declaration yet; as permissive as any declaration. */
    public static final RequestLimits DEFAULT = new RequestLimits(4 * 1024 * 1024, 10_000);
}
