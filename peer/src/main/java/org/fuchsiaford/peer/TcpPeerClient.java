package org.fuchsiaford.peer;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/**
 * Calls other entry hosts over one TCP connection per host, opened on first use and reopened after
 * it has closed. Thread-safe.
 */
public final class TcpPeerClient implements PeerClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final Map<PeerAddress, Mono<PeerConnection>> mConnections = new ConcurrentHashMap<>();

    @Override
    public <T extends PeerMessage> Mono<T> call(
            PeerAddress peer, PeerMessage request, Class<T> type, Duration timeout) {
        return Mono.defer(() -> connection(peer))
                .flatMap(connection -> connection.call(request, timeout))
                .flatMap(response -> checkResponse(peer, response, type))
                .timeout(timeout.plus(CONNECT_TIMEOUT))
                .onErrorMap(e -> toPeerException(peer, e));
    }

    private static <T extends PeerMessage> Mono<T> checkResponse(
            PeerAddress peer, PeerMessage response, Class<T> type) {
        if (response instanceof PeerMessage.Failure failure) {
            return Mono.error(new PeerException(peer, failure.reason(), null));
        }
        if (!type.isInstance(response)) {
            return Mono.error(new PeerException(peer, "unexpected type of response", null));
        }
        return Mono.just(type.cast(response));
    }

    private static PeerException toPeerException(PeerAddress peer, Throwable cause) {
        if (cause instanceof PeerException known) {
            return known;
        }
        return new PeerException(peer, String.valueOf(cause.getMessage()), cause);
    }

    private Mono<PeerConnection> connection(PeerAddress peer) {
        Mono<PeerConnection> current = mConnections.computeIfAbsent(peer, this::connect);
        return current.flatMap(
                connection ->
                        connection.isOpen() ? Mono.just(connection) : reconnect(peer, current));
    }

    /** Replaces a closed connection, unless another caller has already replaced it. */
    private Mono<PeerConnection> reconnect(PeerAddress peer, Mono<PeerConnection> closed) {
        mConnections.remove(peer, closed);
        return mConnections.computeIfAbsent(peer, this::connect);
    }

    private Mono<PeerConnection> connect(PeerAddress peer) {
        return TcpClient.create(ConnectionProvider.newConnection())
                .host(peer.host())
                .port(peer.port())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .connect()
                .<PeerConnection>map(PeerConnection::new)
                .doOnError(e -> mConnections.remove(peer))
                .cache();
    }
}
