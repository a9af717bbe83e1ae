package org.fuchsiaford.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.hostmemory.HeldBuffer;
import org.fuchsiaford.hostmemory.MemoryAccount;
import org.fuchsiaford.store.http.BodyTooLargeException;
import org.fuchsiaford.store.http.BoundedBody;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies, limited in size and time. Stateless, hence thread-safe. */
public final class RequestBody {
    /** The default maximum size of a body, in bytes. */
    static final int MAX_BYTES = 4 * 1024 * 1024;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    /** Retry delay for callers whose body found no room; stalled bodies give way sooner. */
    private static final long NO_ROOM_RETRY_MILLIS = 600;

    private RequestBody() {}

    /** Reads the whole body; fails with {@link RefusalException} if a limit is exceeded. */
    static Mono<byte[]> read(HttpServerRequest request) {
        return read(request, MAX_BYTES);
    }

    /**
     * Reads the whole body; fails with {@link RefusalException} if a limit is exceeded.
     *
     * @param maxBytes the maximum size of the body; a body whose {@code Content-Length} exceeds it
     *     is not read at all
     */
    private static Mono<byte[]> read(HttpServerRequest request, int maxBytes) {
        if (contentLength(request) > maxBytes) {
            return Mono.error(tooLarge(maxBytes));
        }
        return BoundedBody.join(request.receive().asByteArray(), maxBytes)
                .timeout(READ_TIMEOUT)
                .onErrorMap(TimeoutException.class, e -> tooSlow())
                .onErrorMap(ReadTimeoutException.class, e -> tooSlow())
                .onErrorMap(BodyTooLargeException.class, e -> tooLarge(maxBytes));
    }

    /**
     * Reads the whole body into memory that is charged to a holding; fails with {@link
     * RefusalException} if a limit is exceeded or the holding cannot grow. A body whose {@code
     * Content-Length} finds no room is not read at all.
     *
     * @param maxBytes the maximum size of the body, in bytes
     */
    public static Mono<byte[]> read(
            HttpServerRequest request, int maxBytes, MemoryAccount.Holding holding, Ticker ticker) {
        long length = contentLength(request);
        if (length > maxBytes) {
            return Mono.error(tooLarge(maxBytes));
        }
        HeldBuffer buffer = new HeldBuffer(holding, maxBytes);
        if (!buffer.tryReserve((int) length, ticker.nowNanos())) {
            return Mono.error(noRoom());
        }
        return request.receive()
                .<Void>handle(
                        (chunk, sink) -> {
                            if (buffer.size() + chunk.readableBytes() > maxBytes) {
                                sink.error(tooLarge(maxBytes));
                            } else if (!append(buffer, chunk, holding, ticker.nowNanos())) {
                                sink.error(noRoom());
                            }
                        })
                .then(Mono.fromCallable(() -> take(buffer, ticker.nowNanos())))
                .timeout(READ_TIMEOUT)
                .onErrorMap(TimeoutException.class, e -> tooSlow())
                .onErrorMap(ReadTimeoutException.class, e -> tooSlow());
    }

    private static boolean append(
            HeldBuffer buffer, ByteBuf chunk, MemoryAccount.Holding holding, long nowNanos) {
        int bytes = chunk.readableBytes();
        boolean appended =
                buffer.tryAppend(
                        bytes,
                        (target, offset) -> chunk.readBytes(target, offset, bytes),
                        nowNanos);
        holding.recordReceived(buffer.size(), nowNanos);
        return appended;
    }

    private static byte[] take(HeldBuffer buffer, long nowNanos) throws RefusalException {
        byte[] body = buffer.take(nowNanos);
        if (body == null) {
            throw noRoom();
        }
        return body;
    }

    /** Callers that were refused together return apart. */
    private static RefusalException noRoom() {
        long spreadMillis = ThreadLocalRandom.current().nextLong(NO_ROOM_RETRY_MILLIS);
        return RefusalException.notRunRetry(
                RefusalReason.HOST_FULL,
                NO_ROOM_RETRY_MILLIS + spreadMillis,
                Step.ADMIT,
                "this host has no memory for the body now");
    }

    private static long contentLength(HttpServerRequest request) {
        try {
            String length = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            // The HTTP decoder rejects malformed lengths, so this one exceeds the range of a long.
            return Long.MAX_VALUE;
        }
    }

    private static RefusalException tooLarge(int maxBytes) {
        return RefusalException.notRun(
                RefusalReason.TOO_LARGE, Step.ADMIT, "the body exceeds " + maxBytes + " bytes");
    }

    /** Returns the refusal of a body that was not received in time. */
    public static RefusalException tooSlow() {
        return RefusalException.notRun(
                RefusalReason.CALLER_TOO_SLOW, Step.ADMIT, "the body was not received in time");
    }
}
