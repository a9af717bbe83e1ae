package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback address with one thread a connection. Thread-safe. */
final class Listener {
    /** Serves the next request on a connection; returns whether the connection is kept. */
    interface Handler {
        boolean handle(HttpMessage request, Socket socket) throws IOException;
    }

    private final Handler mHandler;
    private final InetSocketAddress mAddress;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private final Set<Socket> mSilent = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket mServer;

    Listener(Handler handler) throws IOException {
        this(handler, "127.0.0.1", 0);
    }

    /** Listens at a loopback address; port zero takes a free one. */
    Listener(Handler handler, String ip, int port) throws IOException {
        mHandler = handler;
        mServer = new ServerSocket(port, 200, InetAddress.getByName(ip));
        mAddress = (InetSocketAddress) mServer.getLocalSocketAddress();
        accept(mServer);
    }

    String address() {
        return mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
    }

    int port() {
        return mAddress.getPort();
    }

    private void accept(ServerSocket server) {
        Threads.start(
                () -> {
                    while (!server.isClosed()) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        mOpen.add(socket);
                        Threads.start(() -> serve(socket));
                    }
                });
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (HttpMessage request = HttpMessage.read(in, false);
                    request != null;
                    request = HttpMessage.read(in, false)) {
                if (!mSilent.contains(socket) && !mHandler.handle(request, socket)) {
                    return;
                }
            }
        } finally {
            mOpen.remove(socket);
            mSilent.remove(socket);
        }
    }

    /** Returns whether a connection passes nothing on any more. */
    boolean isSilent(Socket socket) {
        return mSilent.contains(socket);
    }

    /** From now on nothing comes back on the connections that are open; new ones work. */
    void silenceOpenConnections() {
        mSilent.addAll(mOpen);
    }

    /** Refuses connections and closes those that are open. */
    void close() {
        try {
            mServer.close();
            for (Socket socket : mOpen) {
                socket.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Listens again at the same address. */
    void reopen() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(mAddress, 200);
        mServer = server;
        accept(server);
    }
}
