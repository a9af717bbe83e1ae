package org.fuchsiaford.store.hostlist;

/**
 * An entry of the platform's list of hosts. Immutable.
 *
 * @param address {@code ip:port} of what runs there
 * @param state whether it stays
 */
public record ListedHost(String address, State state) {
    /** Whether a host stays. */
    public enum State {
        LIVE,
        LEAVING
    }
}
