package org.fuchsiaford.registry;

/**
 * What a backend server says of itself in a response. Immutable.
 *
 * @param leaving whether it is about to end and wants no more requests
 * @param retryAfterMillis how long it wants no requests from this host, in milliseconds; zero if it
 *     does not say so
 */
public record ServerNotice(boolean leaving, long retryAfterMillis) {
    /** The notice of a server that says nothing of itself. */
    public static final ServerNotice NONE = new ServerNotice(false, 0);
}
