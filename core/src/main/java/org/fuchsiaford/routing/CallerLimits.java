package org.fuchsiaford.routing;

/**
 * What callers may send. Immutable.
 *
 * @param maxBodyBytes the longest request body, in bytes
 * @param headMillis the longest time from the first byte of a request to the end of its head
 */
public record CallerLimits(int maxBodyBytes, long headMillis) {
    /** The limits of a host that knows no declaration yet; as generous as any declaration. */
    public static final CallerLimits DEFAULT = new CallerLimits(4 * 1024 * 1024, 10_000);
}
