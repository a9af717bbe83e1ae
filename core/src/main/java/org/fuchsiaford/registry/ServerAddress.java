package org.fuchsiaford.registry;

/**
 * The address on which a backend server listens. Immutable.
 *
 * @param ip an IP address
 * @param port a TCP port
 */
public record ServerAddress(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses an address of the form {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static ServerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        int port = colon < 1 ? 0 : Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("not of the form ip:port: " + text);
        }
        return new ServerAddress(text.substring(0, colon), port);
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
