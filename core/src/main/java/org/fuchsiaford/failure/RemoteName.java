package org.fuchsiaford.failure;

/**
 * Names the other side of the step at which an error arose: a host, a backend server, the store or
 * the caller. Immutable.
 *
 * @param value a name fit for logs; never a key or a prompt
 */
public record RemoteName(String value) {
    /** The process itself, for errors that involve no other side. */
    public static final RemoteName SELF = new RemoteName("self");

    /** The calling client. */
    public static final RemoteName CALLER = new RemoteName("caller");

    /** The platform's key-value service. */
    public static final RemoteName STORE = new RemoteName("store");
}
