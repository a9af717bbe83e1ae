package org.fuchsiaford.peer;

/**
 * Where an entry host listens for other entry hosts. Immutable.
 *
 * @param host an IP number
 * @param port a TCP port
 */
public record PeerAddress(String host, int port) {
    /**
     * Reads an address of the form {@code ip:port}.
     *
     * @throws IllegalArgumentException on any other form
     */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not of the form ip:port: " + text);
        }
        return new PeerAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
