package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.entry.gateway.protocol.KvSource;
import org.fuchsiaford.entry.gateway.protocol.ServerProtocol;
import org.fuchsiaford.entry.gateway.protocol.ServerRequest;
import org.fuchsiaford.entry.gateway.protocol.UnreadableException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Calls prefill engines to prefill prompts. A failed call does not fail the request: the decode
 * engine then prefills the prompt itself. Thread-safe.
 */
public final class PrefillClient {
    /**
     * Safety margin before the KV cache expires in which no fetch is started. Covers the transit of
     * the prefill response and of the decode request, with room for delays.
     */
    private static final long FETCH_MARGIN_MILLIS = 100;

    private final ServerClient mClient;
    private final ResponseMemory mMemory;
    private final ServerProtocol mProtocol;
    private final AttemptRecorder mAttempts;
    private final Ticker mTicker;

    /** Creates a client. */
    public PrefillClient(
            ServerClient client,
            ResponseMemory memory,
            ServerProtocol protocol,
            AttemptRecorder attempts,
            Ticker ticker) {
        mClient = client;
        mMemory = memory;
        mProtocol = protocol;
        mAttempts = attempts;
        mTicker = ticker;
    }

    /**
     * Prefills the prompt of a request.
     *
     * @param timeoutMillis the timeout of the call, in milliseconds
     * @param ttlMillis how long the engine keeps the KV cache, in milliseconds
     * @return the location of the KV cache; empty if the call failed or timed out
     */
    Mono<Optional<KvSource>> prefill(
            RequestContext context, LiveServer engine, long timeoutMillis, long ttlMillis) {
        long startNanos = mTicker.nowNanos();
        RemoteName remote = new RemoteName(engine.id().value());
        long callMillis = Math.max(1, Math.min(timeoutMillis, context.remainingMillis(startNanos)));
        return mClient.exchange(
                        context.serverRequest(
                                engine,
                                ServerRequest.Purpose.PREFILL,
                                callMillis,
                                Optional.empty(),
                                Optional.empty()),
                        context.body(),
                        Step.PREFILL,
                        Duration.ofMillis(callMillis))
                .as(parts -> mMemory.collect(Step.PREFILL, remote, parts))
                .flatMap(response -> readKvSource(engine, response, ttlMillis))
                .doOnNext(source -> mAttempts.recordSuccess(engine, startNanos))
                .map(Optional::of)
                .onErrorResume(
                        BackendCallException.class,
                        e -> {
                            mAttempts.recordPrefillFailure(context, engine, e);
                            return Mono.just(Optional.empty());
                        });
    }

    private Mono<KvSource> readKvSource(
            LiveServer engine, CompleteResponse response, long ttlMillis) {
        RemoteName remote = new RemoteName(engine.id().value());
        if (response.head().status() != 200
                || response.head().outcome() != AttemptOutcome.ANSWERED) {
            return Mono.error(
                    new BackendCallException(
                            Step.PREFILL,
                            remote,
                            response.head().outcome(),
                            "status " + response.head().status()));
        }
        try {
            String handle = mProtocol.readKvHandle(response.body());
            long fetchMillis = Math.max(0, ttlMillis - FETCH_MARGIN_MILLIS);
            long untilNanos = mTicker.nowNanos() + TimeUnit.MILLISECONDS.toNanos(fetchMillis);
            return Mono.just(
                    new KvSource(
                            engine.address(),
                            engine.failureDomain(),
                            engine.version(),
                            handle,
                            untilNanos));
        } catch (UnreadableException e) {
            return Mono.error(
                    new BackendCallException(
                            Step.PREFILL, remote, AttemptOutcome.UNKNOWN, e.getMessage()));
        }
    }
}
