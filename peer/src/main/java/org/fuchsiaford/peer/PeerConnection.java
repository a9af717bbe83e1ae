package org.fuchsiaford.peer;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;

/**
 * One connection to another entry host, with the requests that wait for an answer on it.
 *
 * <p>Invariant: an answer reaches the request with its number or nobody. A connection on which a
 * request timed out without a sign of life meanwhile is closed, since it may be silent for good.
 * Thread-safe.
 */
final class PeerConnection {
    private final Connection mConnection;
    private final Map<Long, Sinks.One<PeerMessage>> mWaiting = new ConcurrentHashMap<>();
    private final AtomicLong mLastId = new AtomicLong();
    private final AtomicLong mReceived = new AtomicLong();

    PeerConnection(Connection connection) {
        mConnection = connection;
        PeerCodec.addFraming(connection.channel().pipeline());
        connection.inbound().receive().subscribe(this::receive, e -> close(), this::close);
        connection.onDispose(this::failAll);
    }

    boolean isOpen() {
        return !mConnection.isDisposed();
    }

    Mono<PeerMessage> call(PeerMessage request, Duration timeout) {
        return Mono.defer(
                () -> {
                    long id = mLastId.incrementAndGet();
                    long receivedBefore = mReceived.get();
                    Sinks.One<PeerMessage> sink = Sinks.one();
                    mWaiting.put(id, sink);
                    return send(new PeerFrame(id, false, request))
                            .then(sink.asMono())
                            .timeout(timeout)
                            .doOnError(TimeoutException.class, e -> closeIfSilent(receivedBefore))
                            .doFinally(signal -> mWaiting.remove(id));
                });
    }

    private Mono<Void> send(PeerFrame frame) {
        return Mono.fromCallable(() -> PeerCodec.encode(frame))
                .doOnNext(buffer -> mConnection.channel().writeAndFlush(buffer))
                .then();
    }

    private void closeIfSilent(long receivedBefore) {
        if (mReceived.get() == receivedBefore) {
            close();
        }
    }

    private void receive(ByteBuf buffer) {
        mReceived.incrementAndGet();
        try {
            PeerFrame frame = PeerCodec.decode(buffer);
            Sinks.One<PeerMessage> sink = mWaiting.get(frame.id());
            if (sink != null) {
                sink.tryEmitValue(frame.message());
            }
        } catch (IOException e) {
            close();
        }
    }

    void close() {
        mConnection.dispose();
    }

    private void failAll() {
        mWaiting.values().forEach(sink -> sink.tryEmitError(new IOException("connection closed")));
    }
}
