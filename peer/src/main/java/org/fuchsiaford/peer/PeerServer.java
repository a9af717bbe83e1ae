package org.fuchsiaford.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.peer.message.PeerMessage;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * Serves requests from other entry hosts. Requests on one connection are processed concurrently, so
 * responses may be sent in a different order. Thread-safe.
 */
public final class PeerServer {
    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    private final PeerAddress mAddress;
    private final PeerRequestHandler mHandler;
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();

    /** Creates a server that does not listen until {@link #start} is called. */
    public PeerServer(PeerAddress address, PeerRequestHandler handler) {
        mAddress = address;
        mHandler = handler;
    }

    /**
     * Starts listening; disposing the emitted server stops it and closes its connections, so that a
     * host that has stopped does not go on to answer.
     */
    public Mono<? extends DisposableServer> start() {
        return TcpServer.create()
                .host(mAddress.host())
                .port(mAddress.port())
                .doOnConnection(this::acceptConnection)
                .bind()
                .doOnNext(server -> server.onDispose(this::closeConnections));
    }

    private void closeConnections() {
        mConnections.forEach(Connection::dispose);
    }

    private void acceptConnection(Connection connection) {
        mConnections.add(connection);
        connection.onDispose(() -> mConnections.remove(connection));
        PeerCodec.addFrameHandlers(connection.channel().pipeline());
        connection
                .inbound()
                .receive()
                .subscribe(
                        buffer -> receive(connection.channel(), buffer),
                        e -> LOG.debugf("peer connection failed: %s", e.getMessage()));
    }

    private void receive(Channel channel, ByteBuf buffer) {
        try {
            PeerFrame frame = PeerCodec.decode(buffer);
            mHandler.handle(frame.message())
                    .onErrorResume(e -> Mono.just(new PeerMessage.Failure(e.getMessage())))
                    .subscribe(response -> send(channel, frame.id(), response));
        } catch (IOException e) {
            LOG.warnf("closing peer connection: cannot decode frame: %s", e.getMessage());
            channel.close();
        }
    }

    private static void send(Channel channel, long id, PeerMessage response) {
        try {
            channel.writeAndFlush(PeerCodec.encode(new PeerFrame(id, true, response)));
        } catch (IOException e) {
            LOG.errorf(e, "cannot encode peer response");
        }
    }
}
