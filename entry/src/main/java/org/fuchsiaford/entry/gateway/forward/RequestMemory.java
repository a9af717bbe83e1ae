package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.function.Function;
import org.fuchsiaford.entry.http.RequestBody;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.hostmemory.MemoryAccount;
import org.fuchsiaford.hostmemory.MemoryDirection;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Charges the bodies of requests to the account of the host.
 *
 * <p>Invariant: a body that gives way is refused as not run; from the moment it is complete, and so
 * before it may be sent to a server, it no longer gives way. Thread-safe.
 */
public final class RequestMemory {
    /** A caller that sends nothing for this long waits for the response or has stalled. */
    private static final Duration QUIET_TIMEOUT = Duration.ofMillis(100);

    private final MemoryAccount mAccount;
    private final Ticker mTicker;

    /** Creates a charging of bodies to an account. */
    public RequestMemory(MemoryAccount account, Ticker ticker) {
        mAccount = account;
        mTicker = ticker;
    }

    /**
     * Reads the body of a request, uses it, and returns its memory once its use has ended. Fails
     * with {@link RefusalException} if the body is not received.
     *
     * @param maxBytes the maximum size of the body, in bytes
     */
    Mono<Void> withBody(HttpServerRequest request, int maxBytes, Function<byte[], Mono<Void>> use) {
        return Mono.using(
                Arrival::new,
                arrival ->
                        RequestBody.read(request, maxBytes, arrival.mHolding, mTicker)
                                .takeUntilOther(arrival.mEvicted.asMono())
                                .flatMap(
                                        body ->
                                                arrival.mHolding.moveTo(MemoryDirection.WAITING)
                                                        ? use.apply(body)
                                                        : Mono.error(RequestBody.tooSlow())),
                arrival -> arrival.mHolding.close());
    }

    private final class Arrival {
        private final Sinks.One<byte[]> mEvicted = Sinks.one();
        private final MemoryAccount.Holding mHolding =
                mAccount.openArriving(
                        mTicker.nowNanos(), () -> mEvicted.tryEmitError(RequestBody.tooSlow()));
    }

    /**
     * Sends a refusal without a body and closes the connection. Reads on before, until the body
     * ends, its caller pauses or the timeout is over: a connection that is closed before its bytes
     * are read is reset, and the refusal with it. A body of which a part was read before is not
     * read on.
     */
    static Mono<Void> refuseAndDiscard(
            HttpServerRequest request, HttpServerResponse response, Duration timeout) {
        response.keepAlive(false);
        return request.receive()
                .timeout(QUIET_TIMEOUT)
                .take(timeout)
                .then()
                .onErrorComplete()
                .then(Mono.defer(() -> response.send().then()));
    }

    /** Returns whether the rest of a refused request would only be read to be dropped. */
    static boolean endsConnection(RefusalException refusal) {
        return refusal.reason() == RefusalReason.HOST_FULL
                || refusal.reason() == RefusalReason.CALLER_TOO_SLOW;
    }
}
