package org.fuchsiaford.store.hostlist;

/**
 * An entry of the platform's list of hosts. Immutable.
 *
 * @param address the address of the process on the host, {@code ip:port}
 * @param state whether the host is about to leave
 */
public record ListedHost(String address, State state) {
    /** Whether a host is about to leave. */
    public enum State {
        LIVE,
        LEAVING
    }
}
