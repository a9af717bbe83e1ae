package org.fuchsiaford.host;

/**
 * One run of an entry host process, and where it listens for other hosts as long as it runs.
 * Immutable.
 *
 * @param host the process
 * @param peerAddress its address, {@code ip:port}
 */
public record HostProcess(HostId host, String peerAddress) {}
