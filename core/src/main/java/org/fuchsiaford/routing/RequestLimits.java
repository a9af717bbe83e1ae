package org.fuchsiaford.routing;

/**
 * What callers may send. Immutable.
 *
 * @param maxBodyBytes the longest request body, in bytes
 * @param headerTimeoutMillis the longest time from the first byte of a request to the end of its
 *     head
 */
public record RequestLimits(int maxBodyBytes, long headerTimeoutMillis) {
    /** The limits of a host that knows no declaration yet; as generous as any declaration. */
    public static final RequestLimits DEFAULT = new RequestLimits(4 * 1024 * 1024, 10_000);
}
