package org.fuchsiaford.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
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

    /** Memory that a request takes until it is answered, beyond the bytes of its frame. */
    private static final long REQUEST_BYTES = 1024;

    /** What the requests of a connection that wait for responses may take, in bytes. */
    private static final long MAX_WAITING_BYTES = 8L * 1024 * 1024;

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
        AtomicLong waiting = new AtomicLong();
        connection
                .inbound()
                .receive()
                .subscribe(
                        buffer -> receive(connection.channel(), waiting, buffer),
                        e -> {
                            LOG.debugf("peer connection failed: %s", e.getMessage());
                            connection.dispose();
                        });
    }

    /**
     * Handles a request.
     *
     * @param waiting the number of bytes kept for the requests of the connection without response
     */
    private void receive(Channel channel, AtomicLong waiting, ByteBuf buffer) {
        if (!channel.isActive()) {
            // More frames of a read whose first ones closed the connection.
            return;
        }
        try {
            long size = buffer.readableBytes() + REQUEST_BYTES;
            PeerFrame frame = PeerCodec.decode(buffer);
            handle(frame, waiting, size)
                    .onErrorResume(e -> Mono.just(new PeerMessage.Failure(e.getMessage())))
                    .subscribe(response -> send(channel, frame.id(), response));
        } catch (IOException e) {
            LOG.warnf("closing peer connection: cannot decode frame: %s", e.getMessage());
            channel.close();
        }
    }

    private Mono<PeerMessage> handle(PeerFrame frame, AtomicLong waiting, long size) {
        return waiting.get() + size > MAX_WAITING_BYTES
                ? Mono.just(new PeerMessage.Failure("too many requests wait for responses"))
                : Mono.using(
                        () -> waiting.addAndGet(size),
                        total -> mHandler.handle(frame.message()),
                        total -> waiting.addAndGet(-size));
    }

    private static void send(Channel channel, long id, PeerMessage response) {
        if (PeerCodec.isUnread(channel)) {
            LOG.warnf("closing peer connection: %s reads no responses", channel.remoteAddress());
            channel.close();
            return;
        }
        try {
            channel.writeAndFlush(PeerCodec.encode(new PeerFrame(id, true, response)));
        } catch (IOException e) {
            LOG.errorf(e, "cannot encode peer response");
        }
    }
}
