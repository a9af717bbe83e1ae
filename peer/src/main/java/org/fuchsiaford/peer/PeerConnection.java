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
 * A connection to another entry host, with the requests that wait for a response on it.
 *
 * <p>Invariant: a response is delivered to the pending request with the same number or discarded.
 * If a request times out and nothing has been received since it was sent, the connection is closed,
 * since the peer may be gone without having closed it. Thread-safe.
 */
final class PeerConnection {
    private final Connection mConnection;
    private final Map<Long, Sinks.One<PeerMessage>> mPendingResponses = new ConcurrentHashMap<>();
    private final AtomicLong mLastRequestId = new AtomicLong();
    private final AtomicLong mReceivedFrames = new AtomicLong();

    PeerConnection(Connection connection) {
        mConnection = connection;
        PeerCodec.addFrameHandlers(connection.channel().pipeline());
        connection.inbound().receive().subscribe(this::receive, e -> close(), this::close);
        connection.onDispose(this::failPendingRequests);
    }

    boolean isOpen() {
        return !mConnection.isDisposed();
    }

    Mono<PeerMessage> call(PeerMessage request, Duration timeout) {
        return Mono.defer(
                () -> {
                    long id = mLastRequestId.incrementAndGet();
                    long framesBefore = mReceivedFrames.get();
                    Sinks.One<PeerMessage> sink = Sinks.one();
                    mPendingResponses.put(id, sink);
                    return send(new PeerFrame(id, false, request))
                            .then(sink.asMono())
                            .timeout(timeout)
                            .doOnError(
                                    TimeoutException.class,
                                    e -> closeIfNothingReceived(framesBefore))
                            .doFinally(signal -> mPendingResponses.remove(id));
                });
    }

    private Mono<Void> send(PeerFrame frame) {
        return Mono.fromCallable(() -> PeerCodec.encode(frame)).doOnNext(this::write).then();
    }

    private void write(ByteBuf buffer) {
        if (PeerCodec.isUnread(mConnection.channel())) {
            buffer.release();
            close();
        } else {
            mConnection.channel().writeAndFlush(buffer);
        }
    }

    private void closeIfNothingReceived(long framesBefore) {
        if (mReceivedFrames.get() == framesBefore) {
            close();
        }
    }

    private void receive(ByteBuf buffer) {
        mReceivedFrames.incrementAndGet();
        try {
            PeerFrame frame = PeerCodec.decode(buffer);
            Sinks.One<PeerMessage> sink = mPendingResponses.get(frame.id());
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

    private void failPendingRequests() {
        mPendingResponses
                .values()
                .forEach(sink -> sink.tryEmitError(new IOException("peer connection closed")));
    }
}
