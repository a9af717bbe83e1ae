package org.fuchsiaford.registry;

import java.util.OptionalDouble;

/**
 * What a backend server says of itself in a response. Immutable.
 *
 * @param leaving whether it is about to end and wants no more requests
 * @param retryAfterMillis how long it wants no requests from this host, in milliseconds; zero if it
 *     does not say so
 * @param requestsPerSecond how many requests it takes from all hosts together; infinite if it names
 *     no limit, empty if the response does not tell
 */
public record ServerNotice(
        boolean leaving, long retryAfterMillis, OptionalDouble requestsPerSecond) {}
