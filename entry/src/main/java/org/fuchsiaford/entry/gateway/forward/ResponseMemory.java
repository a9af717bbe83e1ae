package org.fuchsiaford.entry.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.store.http.BodyTooLargeException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Collects responses of backend servers in memory, each up to a limit, and all together up to
 * another one, so that servers that send without end cannot exhaust the heap.
 *
 * <p>Invariant: small responses are always collected; only what exceeds {@link #UNSHARED_BYTES} of
 * a response draws on the common limit. Thread-safe.
 */
public final class ResponseMemory {
    /** Size up to which a response does not count against the common limit, in bytes. */
    private static final int UNSHARED_BYTES = 64 * 1024;

    private final int mMaxResponseBytes;
    private final long mMaxSharedBytes;
    private final AtomicLong mSharedBytes = new AtomicLong();

    /**
     * Creates a memory.
     *
     * @param maxResponseBytes the maximum size of one response, in bytes
     * @param maxSharedBytes the maximum size of the large parts of all responses, in bytes
     */
    public ResponseMemory(int maxResponseBytes, long maxSharedBytes) {
        mMaxResponseBytes = maxResponseBytes;
        mMaxSharedBytes = maxSharedBytes;
    }

    /**
     * Collects a response; fails with {@link BackendCallException} if it is empty or exceeds a
     * limit. What the head says of the request then still holds if it proves that it has not run.
     */
    Mono<CompleteResponse> collect(Step step, RemoteName server, Flux<ResponsePart> parts) {
        return Mono.using(
                Buffer::new,
                buffer ->
                        parts.doOnNext(buffer::add)
                                .then(Mono.fromCallable(() -> buffer.complete(step, server)))
                                .onErrorMap(
                                        BodyTooLargeException.class,
                                        e -> buffer.tooLarge(step, server, e)),
                Buffer::release);
    }

    private final class Buffer {
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private ResponseHead mHead;
        private long mOwnSharedBytes;

        void add(ResponsePart part) {
            if (part instanceof ResponsePart.Head head) {
                mHead = head.head();
            } else if (part instanceof ResponsePart.Body body) {
                append(body.bytes());
            }
        }

        private void append(byte[] bytes) {
            int size = mBody.size() + bytes.length;
            if (size > mMaxResponseBytes) {
                throw new BodyTooLargeException(mMaxResponseBytes);
            }
            long shared = Math.max(0, size - UNSHARED_BYTES);
            long added = shared - mOwnSharedBytes;
            mOwnSharedBytes = shared;
            if (mSharedBytes.addAndGet(added) > mMaxSharedBytes) {
                throw new BodyTooLargeException(size);
            }
            mBody.writeBytes(bytes);
        }

        CompleteResponse complete(Step step, RemoteName server) throws BackendCallException {
            if (mHead == null) {
                throw new BackendCallException(
                        step, server, AttemptOutcome.UNKNOWN, "the response is empty");
            }
            return new CompleteResponse(mHead, mBody.toByteArray());
        }

        BackendCallException tooLarge(Step step, RemoteName server, BodyTooLargeException cause) {
            boolean provesNotRun = mHead != null && !mHead.outcome().mayHaveRun();
            return new BackendCallException(
                    step,
                    server,
                    provesNotRun ? mHead.outcome() : AttemptOutcome.UNKNOWN,
                    "status " + (mHead == null ? 0 : mHead.status()) + ": " + cause.getMessage());
        }

        void release() {
            mSharedBytes.addAndGet(-mOwnSharedBytes);
        }
    }
}
