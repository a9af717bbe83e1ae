package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.attempt.NextStep;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.AnswerHead;
import org.fuchsiaford.entry.gateway.protocol.KvSource;
import org.fuchsiaford.entry.gateway.protocol.ServerRequest;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.selection.EnginePlan;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;

/**
 * Streams a model's answer: plans engines, has the prompt read where that helps, passes events on
 * and goes on at another engine where the route allows it.
 *
 * <p>Invariant: the parts that come out are one head and the events of one stream without gap or
 * repetition; a stream that cannot be finished ends with an error. Thread-safe.
 */
public final class StreamForwarder {
    /** A prefill call that takes longer than this part of the target is as good as failed. */
    private static final double PREFILL_TARGET_SHARE = 1.2;

    /** A resumable stream leaves an engine whose first event takes this many times the target. */
    private static final double FIRST_EVENT_TARGETS = 2.5;

    /** Callers give a silent stream up after two seconds or more, and an engine may preempt one. */
    private static final Duration LONGEST_SILENCE = Duration.ofMillis(1_800);

    private final GatewayState mState;
    private final RouteAdmission mRoutes;
    private final EngineAdmission mGate;
    private final LoadTracker mLoads;
    private final ServerClient mClient;
    private final PrefillClient mPrefill;
    private final AttemptRecorder mAttempts;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /** Creates a course. */
    public StreamForwarder(
            GatewayState state,
            RouteAdmission routes,
            EngineAdmission gate,
            LoadTracker loads,
            ServerClient client,
            PrefillClient prefill,
            AttemptRecorder attempts,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mRoutes = routes;
        mGate = gate;
        mLoads = loads;
        mClient = client;
        mPrefill = prefill;
        mAttempts = attempts;
        mLog = log;
        mTicker = ticker;
    }

    /** Runs a request; fails with {@link RefusalException} before the head, else in any way. */
    Flux<ResponsePart> run(RequestContext context) {
        boolean resumable = context.route().kind().isRepeatable();
        StreamProgress progress = new StreamProgress(resumable, context.caller().lastEventId());
        return attempt(context, progress, Optional.empty());
    }

    /** Makes one attempt; a prompt that was read for an earlier one and is still kept is used. */
    private Flux<ResponsePart> attempt(
            RequestContext context, StreamProgress progress, Optional<KvSource> kept) {
        return mGate.acquire(context)
                .onErrorResume(e -> release(kept).then(Mono.error(e)))
                .flatMapMany(seat -> attempt(context, progress, seat, kept));
    }

    private Flux<ResponsePart> attempt(
            RequestContext context,
            StreamProgress progress,
            EngineAssignment seat,
            Optional<KvSource> kept) {
        return Mono.fromCallable(() -> begin(context, seat.plan()))
                .flatMap(plan -> source(context, seat, kept))
                .flatMapMany(source -> decode(context, progress, seat, source))
                .doFinally(
                        signal -> mGate.release(context, seat, signal == SignalType.ON_COMPLETE));
    }

    /** Checks, after any wait, that the request may still run; its engines were just picked. */
    private EnginePlan begin(RequestContext context, EnginePlan plan) throws RefusalException {
        mRoutes.reauthorize(context);
        int before = mAttempts.recordSend(context);
        logPlaced(context, plan, before);
        return plan;
    }

    private Mono<Optional<KvSource>> source(
            RequestContext context, EngineAssignment seat, Optional<KvSource> kept) {
        if (kept.filter(this::isFetchable).isPresent()) {
            seat.reservation().markRead();
            return Mono.just(kept);
        }
        return release(kept).then(Mono.defer(() -> readPrompt(context, seat)));
    }

    private boolean isFetchable(KvSource source) {
        return mTicker.nowNanos() - source.fetchUntilNanos() < 0;
    }

    /** Frees a prompt that is not used any more; nothing waits for that. */
    private Mono<Void> release(Optional<KvSource> source) {
        return Mono.fromRunnable(
                () -> source.ifPresent(s -> mClient.releaseKvCache(s).subscribe()));
    }

    private Mono<Optional<KvSource>> readPrompt(RequestContext context, EngineAssignment seat) {
        return callPrefill(context, seat.plan())
                .doOnNext(
                        source -> {
                            if (source.isEmpty()) {
                                seat.reservation().markUnread(context.tokens().promptTokens());
                            }
                        });
    }

    private Mono<Optional<KvSource>> callPrefill(RequestContext context, EnginePlan plan) {
        if (plan.prefill().isEmpty() || !mAttempts.allowsPrefillCall(context)) {
            return Mono.just(Optional.empty());
        }
        long limitMillis = (long) (context.route().targetLatencyMillis() * PREFILL_TARGET_SHARE);
        long lifeMillis = mGate.capacity(context.service()).handleTtlMillis();
        return mPrefill.prefill(context, plan.prefill().get(), limitMillis, lifeMillis);
    }

    private Flux<ResponsePart> decode(
            RequestContext context,
            StreamProgress progress,
            EngineAssignment seat,
            Optional<KvSource> source) {
        long startNanos = mTicker.nowNanos();
        long leftMillis = context.remainingMillis(startNanos);
        LiveServer server = seat.plan().decode();
        if (!mState.servers().isUsable(server, startNanos)) {
            return goOn(context, progress, server, leaving(server), source);
        }
        Flux<ResponsePart> parts =
                mClient.exchange(
                        context.serverRequest(
                                server,
                                ServerRequest.Purpose.RUN,
                                leftMillis,
                                source,
                                progress.lastEventId()),
                        context.body(),
                        Step.DECODE,
                        Duration.ofMillis(Math.max(1, leftMillis)));
        return watched(context, server, parts)
                .doOnNext(part -> seat.reservation().markRead())
                .switchOnFirst(
                        (first, all) ->
                                first.get() instanceof ResponsePart.Head head
                                                && head.head().outcome() == AttemptOutcome.ANSWERED
                                        ? events(context, progress, seat, head, all, startNanos)
                                        : rejected(server, all))
                .onErrorResume(
                        BackendCallException.class,
                        e -> goOn(context, progress, server, e, source));
    }

    /** The engine was usable when it was picked, before its prompt was read elsewhere. */
    private static BackendCallException leaving(LiveServer server) {
        return new BackendCallException(
                Step.DECODE,
                new RemoteName(server.id().value()),
                AttemptOutcome.NOT_SENT,
                "the engine has begun to leave");
    }

    /** Watches the silence of a stream that can go on elsewhere; any other is waited for. */
    private Flux<ResponsePart> watched(
            RequestContext context, LiveServer server, Flux<ResponsePart> parts) {
        if (!context.route().kind().isRepeatable()) {
            return parts;
        }
        long firstMillis = (long) (context.route().targetLatencyMillis() * FIRST_EVENT_TARGETS);
        Duration first = Duration.ofMillis(Math.max(firstMillis, LONGEST_SILENCE.toMillis()));
        return parts.timeout(Mono.delay(first), part -> Mono.delay(LONGEST_SILENCE))
                .onErrorMap(
                        TimeoutException.class,
                        e ->
                                new BackendCallException(
                                        Step.DECODE,
                                        new RemoteName(server.id().value()),
                                        AttemptOutcome.UNKNOWN,
                                        "the stream fell silent"));
    }

    private Flux<ResponsePart> events(
            RequestContext context,
            StreamProgress progress,
            EngineAssignment seat,
            ResponsePart.Head head,
            Flux<ResponsePart> all,
            long startNanos) {
        LiveServer server = seat.plan().decode();
        mAttempts.recordSuccess(server, startNanos);
        mGate.recordFirstEvent(context, seat);
        Flux<ResponsePart> bytes =
                all.skip(1)
                        .map(part -> progress.append(((ResponsePart.Body) part).bytes()))
                        .concatWith(Mono.fromSupplier(progress::remainingBytes))
                        .filter(ready -> ready.length > 0)
                        .map(ResponsePart.Body::new);
        context.attempts().record(server.id(), AttemptOutcome.ANSWERED);
        if (progress.isHeadForwarded()) {
            return bytes;
        }
        progress.markHeadForwarded();
        return Flux.concat(Mono.just(head), bytes);
    }

    /** Reads a rejection to its end and turns it into an error, or passes it on as it is. */
    private static Flux<ResponsePart> rejected(LiveServer server, Flux<ResponsePart> all) {
        return all.collectList()
                .flatMapMany(
                        parts -> {
                            Optional<AnswerHead> head =
                                    CompleteResponse.of(parts).map(CompleteResponse::head);
                            return Flux.error(
                                    new BackendCallException(
                                            Step.DECODE,
                                            new RemoteName(server.id().value()),
                                            head.map(AnswerHead::outcome)
                                                    .orElse(AttemptOutcome.UNKNOWN),
                                            head.map(h -> "status " + h.status())
                                                    .orElse("no answer"),
                                            parts));
                        });
    }

    private Flux<ResponsePart> goOn(
            RequestContext context,
            StreamProgress progress,
            LiveServer server,
            BackendCallException failure,
            Optional<KvSource> source) {
        progress.discardPartialEvent();
        NextStep next =
                mAttempts.recordFailure(context, server, failure.outcome(), failure.getMessage());
        Optional<KvSource> unused = source.filter(s -> isUnfetched(failure.outcome()));
        return switch (next) {
            case ANSWER ->
                    progress.isHeadForwarded()
                            ? Flux.error(failure)
                            : Flux.fromIterable(failure.responseParts());
            case TRY_AGAIN -> resume(context, progress, unused);
            case REFUSE, FAIL ->
                    release(unused).thenMany(Flux.error(mAttempts.refusal(context, server, next)));
        };
    }

    /** Returns whether an engine that failed so has not tried to fetch the prompt. */
    private static boolean isUnfetched(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.WRONG_SERVER;
    }

    private Flux<ResponsePart> resume(
            RequestContext context, StreamProgress progress, Optional<KvSource> unused) {
        if (progress.isHeadForwarded()) {
            mLog.write(
                    new Decision.Resumed(
                            context.caller().id().value(), progress.lastEventId().orElse(null)));
        }
        return attempt(context, progress, unused);
    }

    private void logPlaced(RequestContext context, EnginePlan plan, int before) {
        ServerLoad load = mLoads.total(plan.decode().id());
        mLog.write(
                new Decision.Placed(
                        context.caller().id().value(),
                        plan.decode().id().value(),
                        plan.prefill().map(p -> p.id().value()).orElse(null),
                        before + 1,
                        load.requests(),
                        load.tokens(),
                        context.tokens().promptTokens(),
                        context.tokens().maxOutputTokens(),
                        context.remainingMillis(mTicker.nowNanos()),
                        mState.revision()));
    }
}
