import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The path from one host to one worker: a relay that can be cut, so that open channels are reset and
 * new ones refused. Thread-safe.
 */
final class WorkerPath {
    private static final int BUFFER_BYTES = 16 * 1024;

    final int port = Ports.free();
    private final int mWorkerPort;
    private final ExecutorService mThreads = Executors.newCachedThreadPool(Threads2.DAEMON);
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket mListener;

    WorkerPath(int workerPort) {
        mWorkerPort = workerPort;
        heal();
    }

    /** Lets channels through. */
    void heal() {
        try {
            mListener = new ServerSocket();
            mListener.setReuseAddress(true);
            mListener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 96);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        ServerSocket listener = mListener;
        mThreads.execute(() -> accept(listener));
    }

    /** Resets all channels and refuses new ones. */
    void cut() {
        try {
            mListener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mSockets.forEach(WorkerPath::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It has ended before.
        }
    }

    private void accept(ServerSocket listener) {
        try {
            while (true) {
                Socket host = listener.accept();
                mSockets.add(host);
                mThreads.execute(() -> relay(host));
            }
        } catch (IOException e) {
            // The path was cut.
        }
    }

    private void relay(Socket host) {
        try (host;
                Socket worker = new Socket(InetAddress.getByName("127.0.0.1"), mWorkerPort)) {
            mSockets.add(worker);
            mThreads.execute(() -> copy(host, worker));
            copy(worker, host);
            mSockets.remove(worker);
        } catch (IOException e) {
            // The worker is away.
        } finally {
            mSockets.remove(host);
        }
    }

    private static void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
            }
            to.close();
        } catch (IOException e) {
            reset(to);
        }
    }
}
