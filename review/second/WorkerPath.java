import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;

/**
 * The path from one host to one worker: a relay that can be cut, so that open channels are reset and
 * new ones refused. Thread-safe.
 */
final class WorkerPath {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_TRIES = 100;
    private static final long TRY_GAP_NANOS = 5_000_000;

    /** More channels than the queue of a listener with the smallest backlog takes. */
    private static final int FILLING_CHANNELS = 4;

    final int port = Ports.free();
    private final int mWorkerPort;
    private final ExecutorService mThreads = Executors.newCachedThreadPool(Threads2.DAEMON);
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final List<SocketChannel> mFilling = new ArrayList<>();
    private volatile ServerSocket mListener;

    WorkerPath(int workerPort) {
        mWorkerPort = workerPort;
        heal();
    }

    /** Lets channels through. */
    void heal() {
        ServerSocket listener = listen(96);
        mListener = listener;
        mThreads.execute(() -> accept(listener));
    }

    /** Opens the port; the listener before may take a moment to end. */
    private ServerSocket listen(int backlog) {
        for (int tries = 0; ; tries++) {
            try {
                ServerSocket listener = new ServerSocket();
                listener.setReuseAddress(true);
                listener.bind(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), backlog);
                return listener;
            } catch (IOException e) {
                if (tries == MAX_TRIES) {
                    throw new UncheckedIOException(e);
                }
                LockSupport.parkNanos(TRY_GAP_NANOS);
            }
        }
    }

    /** Resets all channels and refuses new ones. */
    void cut() {
        try {
            mListener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mSockets.forEach(WorkerPath::reset);
        closeFilling();
    }

    /** Resets all channels and leaves new ones hanging: the queue of the listener is full. */
    void hang() {
        cut();
        mListener = listen(1);
        try {
            for (int i = 0; i < FILLING_CHANNELS; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
                mFilling.add(channel);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void closeFilling() {
        for (SocketChannel channel : mFilling) {
            try {
                channel.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        mFilling.clear();
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
