package org.fuchsiaford.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.io.IOException;
import org.fuchsiaford.peer.message.PeerMessage;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * Answers the requests of other entry hosts. Requests on one connection are carried out at the same
 * time; answers may come in another order. Thread-safe.
 */
public final class PeerServer {
    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    private final PeerAddress mAddress;
    private final PeerRequestHandler mHandler;

    /** Creates a server; it listens once {@link #start} is called. */
    public PeerServer(PeerAddress address, PeerRequestHandler handler) {
        mAddress = address;
        mHandler = handler;
    }

    /** Starts to listen; the result stops it. */
    public Mono<? extends DisposableServer> start() {
        return TcpServer.create()
                .host(mAddress.host())
                .port(mAddress.port())
                .doOnConnection(this::serve)
                .bind();
    }

    private void serve(Connection connection) {
        PeerCodec.addFraming(connection.channel().pipeline());
        connection
                .inbound()
                .receive()
                .subscribe(
                        buffer -> receive(connection.channel(), buffer),
                        e -> LOG.debugf("peer connection ended: %s", e.getMessage()));
    }

    private void receive(Channel channel, ByteBuf buffer) {
        try {
            PeerFrame frame = PeerCodec.decode(buffer);
            mHandler.handle(frame.message())
                    .onErrorResume(e -> Mono.just(new PeerMessage.Failure(e.getMessage())))
                    .subscribe(message -> answer(channel, frame.id(), message));
        } catch (IOException e) {
            LOG.warnf("closing a peer connection after an unreadable frame: %s", e.getMessage());
            channel.close();
        }
    }

    private static void answer(Channel channel, long id, PeerMessage message) {
        try {
            channel.writeAndFlush(PeerCodec.encode(new PeerFrame(id, true, message)));
        } catch (IOException e) {
            LOG.errorf(e, "answer cannot be written");
        }
    }
}
