package org.fuchsiaford.store.http;

import java.io.ByteArrayOutputStream;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Reads HTTP bodies of limited size into memory. Stateless, hence thread-safe. */
public final class BoundedBody {
    private BoundedBody() {}

    /**
     * Joins the chunks of a body; an empty body is an empty array. A body that exceeds the limit is
     * not read on, and fails with {@link BodyTooLargeException}.
     *
     * @param maxBytes the maximum size of the body, in bytes
     */
    public static Mono<byte[]> join(Flux<byte[]> chunks, int maxBytes) {
        return chunks.reduceWith(
                        ByteArrayOutputStream::new, (body, chunk) -> append(body, chunk, maxBytes))
                .map(ByteArrayOutputStream::toByteArray);
    }

    private static ByteArrayOutputStream append(
            ByteArrayOutputStream body, byte[] chunk, int maxBytes) {
        if (body.size() + chunk.length > maxBytes) {
            throw new BodyTooLargeException(maxBytes);
        }
        body.writeBytes(chunk);
        return body;
    }
}
