import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Free ports of the loopback address, below those that the system gives to outgoing channels, which
 * could else take one before it is used.
 */
final class Ports {
    private static final int FIRST = 11_000;
    private static final int COUNT = 21_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Ports() {}

    /** Returns a port that is free now and was not returned before. */
    static synchronized int free() {
        while (true) {
            int port = FIRST + RANDOM.nextInt(COUNT);
            if (GIVEN.add(port) && isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket =
                new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
