package org.fuchsiaford.host;

/**
 * An entry host process and the address at which it accepts peer connections while it runs.
 * Immutable.
 *
 * @param host the ID of the process
 * @param peerAddress its peer address, {@code ip:port}
 */
public record HostProcess(HostId host, String peerAddress) {}
