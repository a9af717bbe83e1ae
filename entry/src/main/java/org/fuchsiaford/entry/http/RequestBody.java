package org.fuchsiaford.entry.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.store.http.BodyTooLargeException;
import org.fuchsiaford.store.http.BoundedBody;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies, limited in size and time. Stateless, hence thread-safe. */
public final class RequestBody {
    /** The default maximum size of a body, in bytes. */
    static final int MAX_BYTES = 4 * 1024 * 1024;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

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
    public static Mono<byte[]> read(HttpServerRequest request, int maxBytes) {
        if (contentLength(request) > maxBytes) {
            return Mono.error(tooLarge(maxBytes));
        }
        return BoundedBody.join(request.receive().asByteArray(), maxBytes)
                .timeout(READ_TIMEOUT)
                .onErrorMap(TimeoutException.class, e -> tooSlow())
                .onErrorMap(ReadTimeoutException.class, e -> tooSlow())
                .onErrorMap(BodyTooLargeException.class, e -> tooLarge(maxBytes));
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

    private static RefusalException tooSlow() {
        return RefusalException.notRun(
                RefusalReason.CALLER_TOO_SLOW, Step.ADMIT, "the body was not received in time");
    }
}
