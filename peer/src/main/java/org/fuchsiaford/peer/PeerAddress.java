package org.fuchsiaford.peer;

/**
 * The address on which an entry host listens for other entry hosts. Immutable.
 *
 * @param host an IP address
 * @param port the TCP port
 */
public record PeerAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Creates an address; throws IllegalArgumentException if the port is out of range. */
    public PeerAddress {
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
    }

    /**
     * Parses an address of the form {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("peer address is not of the form ip:port: " + text);
        }
        return new PeerAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
