package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.List;
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
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.selection.EnginePlanner;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Has a prompt read by a prefill engine. A failure is no failure of the request: the decode engine
 * then reads the prompt itself. Thread-safe.
 */
public final class PrefillCall {
    /** The answer's way here and the request's way to the decode engine, with room for a delay. */
    private static final long FETCH_MARGIN_MILLIS = 100;

    private final ServerClient mClient;
    private final ServerProtocol mProtocol;
    private final LoadTracker mLoads;
    private final EnginePlanner mPlanner;
    private final Attempts mAttempts;
    private final Ticker mTicker;

    /** Creates a call. */
    public PrefillCall(
            ServerClient client,
            ServerProtocol protocol,
            LoadTracker loads,
            EnginePlanner planner,
            Attempts attempts,
            Ticker ticker) {
        mClient = client;
        mProtocol = protocol;
        mLoads = loads;
        mPlanner = planner;
        mAttempts = attempts;
        mTicker = ticker;
    }

    /**
     * Returns where the KV cache is, or nothing if the engine failed within the limit.
     *
     * @param lifeMillis how long the engine keeps it
     */
    Mono<Optional<KvSource>> call(
            RequestContext context, LiveServer engine, long limitMillis, long lifeMillis) {
        TokenCounts tokens = context.tokens();
        long startNanos = mTicker.nowNanos();
        boolean idle = mLoads.total(engine.id()).requests() <= 0;
        Reservation time = Reservation.prefill(mLoads, engine, tokens);
        long leftMillis = Math.max(1, Math.min(limitMillis, context.leftMillis(startNanos)));
        return mClient.exchange(
                        context.to(
                                engine,
                                ServerRequest.Purpose.PREFILL,
                                leftMillis,
                                Optional.empty(),
                                Optional.empty()),
                        context.body(),
                        Step.PREFILL,
                        Duration.ofMillis(leftMillis))
                .collectList()
                .flatMap(parts -> read(engine, parts, lifeMillis))
                .doOnNext(source -> succeeded(engine, tokens, startNanos, idle))
                .map(Optional::of)
                .onErrorResume(
                        CallFailure.class,
                        e -> {
                            mAttempts.prefillFailed(context, engine, e);
                            return Mono.just(Optional.empty());
                        })
                .doFinally(signal -> time.release());
    }

    private void succeeded(LiveServer engine, TokenCounts tokens, long startNanos, boolean idle) {
        mAttempts.answered(engine, startNanos);
        if (idle) {
            mPlanner.observePrefill(
                    engine.service(), tokens.promptTokens(), mTicker.nowNanos() - startNanos);
        }
    }

    private Mono<KvSource> read(LiveServer engine, List<AnswerPart> parts, long lifeMillis) {
        RemoteName remote = new RemoteName(engine.id().value());
        Optional<WholeAnswer> answer = WholeAnswer.of(parts);
        if (answer.isEmpty() || answer.get().head().status() != 200) {
            AttemptOutcome outcome =
                    answer.map(whole -> whole.head().outcome()).orElse(AttemptOutcome.UNKNOWN);
            String reason =
                    answer.map(whole -> "status " + whole.head().status()).orElse("no answer");
            return Mono.error(new CallFailure(Step.PREFILL, remote, outcome, reason));
        }
        try {
            String handle = mProtocol.readKvHandle(answer.get().body());
            long fetchMillis = Math.max(0, lifeMillis - FETCH_MARGIN_MILLIS);
            long untilNanos = mTicker.nowNanos() + TimeUnit.MILLISECONDS.toNanos(fetchMillis);
            return Mono.just(new KvSource(engine.address(), handle, untilNanos));
        } catch (UnreadableException e) {
            return Mono.error(
                    new CallFailure(Step.PREFILL, remote, AttemptOutcome.UNKNOWN, e.getMessage()));
        }
    }
}
