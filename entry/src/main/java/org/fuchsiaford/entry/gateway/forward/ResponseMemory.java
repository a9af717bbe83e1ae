package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.hostmemory.HeldBuffer;
import org.fuchsiaford.hostmemory.MemoryAccount;
import org.fuchsiaford.hostmemory.MemoryDirection;
import org.fuchsiaford.store.http.BodyTooLargeException;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Collects responses of backend servers in memory, each up to a limit and all of them in the
 * account of the host, so that servers that send without end cannot exhaust the heap. Thread-safe.
 */
public final class ResponseMemory {
    private final int mMaxResponseBytes;
    private final MemoryAccount mAccount;
    private final Ticker mTicker;

    /**
     * Creates a memory.
     *
     * @param maxResponseBytes the maximum size of one response, in bytes
     * @param account the account that all responses draw on
     */
    public ResponseMemory(int maxResponseBytes, MemoryAccount account, Ticker ticker) {
        mMaxResponseBytes = maxResponseBytes;
        mAccount = account;
        mTicker = ticker;
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
        private final MemoryAccount.Holding mHolding = mAccount.open(MemoryDirection.RESPONSES);
        private final HeldBuffer mBody = new HeldBuffer(mHolding, mMaxResponseBytes);
        private ResponseHead mHead;

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
            boolean appended =
                    mBody.tryAppend(
                            bytes.length,
                            (target, offset) ->
                                    System.arraycopy(bytes, 0, target, offset, bytes.length),
                            mTicker.nowNanos());
            if (!appended) {
                throw new BodyTooLargeException(size);
            }
        }

        CompleteResponse complete(Step step, RemoteName server) throws BackendCallException {
            if (mHead == null) {
                throw new BackendCallException(
                        step, server, AttemptOutcome.UNKNOWN, "the response is empty");
            }
            byte[] body = mBody.take(mTicker.nowNanos());
            if (body == null) {
                throw new BodyTooLargeException(mBody.size());
            }
            return new CompleteResponse(mHead, body);
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
            mHolding.close();
        }
    }
}
