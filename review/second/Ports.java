import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Free ports of the loopback address, below those that the system gives to outgoing channels, which
 * could else take one before it is used. Drivers that run side by side take them from different
 * blocks.
 */
final class Ports {
    private static final int FIRST = 11_000;
    private static final int END = 32_000;
    private static final int BLOCK = 150;
    private static final int BLOCKS = (END - FIRST) / BLOCK;
    private static int sNext = FIRST + (int) (ProcessHandle.current().pid() % BLOCKS) * BLOCK;

    private Ports() {}

    /** Returns a port that is free now and was not returned before. */
    static synchronized int free() {
        while (!isFree(sNext)) {
            advance();
        }
        int port = sNext;
        advance();
        return port;
    }

    private static void advance() {
        sNext = sNext + 1 < END ? sNext + 1 : FIRST;
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
