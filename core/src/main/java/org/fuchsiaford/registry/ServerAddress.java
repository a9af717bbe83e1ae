package org.fuchsiaford.registry;

/**
 * Where a backend server listens. Immutable.
 *
 * @param ip an IP number
 * @param port a TCP port
 */
public record ServerAddress(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Reads an address of the form {@code ip:port}.
     *
     * @throws IllegalArgumentException on any other form
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
