import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Free ports of the loopback address. */
final class Ports {
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Ports() {}

    /** Returns a port that is free now and was not returned before. */
    static synchronized int free() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                if (GIVEN.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
