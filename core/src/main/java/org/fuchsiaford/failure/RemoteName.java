package org.fuchsiaford.failure;

/**
 * Names the remote side of a failed step: a host, a backend server, the store or the caller.
 * Immutable.
 *
 * @param value a name that is safe to log; must not contain a key or a prompt
 */
public record RemoteName(String value) {
    /** This process, for errors without a remote side. */
    public static final RemoteName SELF = new RemoteName("self");

    /** The client that sent the request. */
    public static final RemoteName CALLER = new RemoteName("caller");

    /** The platform's key-value service. */
    public static final RemoteName STORE = new RemoteName("store");
}
