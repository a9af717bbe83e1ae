package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.attempt.NextStep;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.KvSource;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;
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
public final class StreamCourse {
    /** A prefill call that takes longer than this part of the target is as good as failed. */
    private static final double PREFILL_TARGET_SHARE = 1.2;

    /** A resumable stream leaves an engine whose first event takes this many times the target. */
    private static final double FIRST_EVENT_TARGETS = 2.5;

    /** Callers give a silent stream up after two seconds or more, and an engine may preempt one. */
    private static final Duration LONGEST_SILENCE = Duration.ofMillis(1_800);

    private final GatewayState mState;
    private final RouteGate mRoutes;
    private final EngineGate mGate;
    private final LoadTracker mLoads;
    private final ServerClient mClient;
    private final PrefillCall mPrefill;
    private final Attempts mAttempts;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /** Creates a course. */
    public StreamCourse(
            GatewayState state,
            RouteGate routes,
            EngineGate gate,
            LoadTracker loads,
            ServerClient client,
            PrefillCall prefill,
            Attempts attempts,
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
    Flux<AnswerPart> run(RequestContext context) {
        boolean resumable = context.route().kind().isRepeatable();
        StreamProgress progress = new StreamProgress(resumable, context.caller().lastEventId());
        return attempt(context, progress, Optional.empty());
    }

    /** Makes one attempt; a prompt that was read for an earlier one and is still kept is used. */
    private Flux<AnswerPart> attempt(
            RequestContext context, StreamProgress progress, Optional<KvSource> kept) {
        return mGate.acquire(context)
                .onErrorResume(e -> release(kept).then(Mono.error(e)))
                .flatMapMany(seat -> attempt(context, progress, seat, kept));
    }

    private Flux<AnswerPart> attempt(
            RequestContext context,
            StreamProgress progress,
            EngineSeat seat,
            Optional<KvSource> kept) {
        return Mono.fromCallable(() -> begin(context, seat.plan()))
                .flatMap(plan -> source(context, seat, kept))
                .flatMapMany(source -> decode(context, progress, seat, source))
                .doFinally(signal -> mGate.leave(context, seat, signal == SignalType.ON_COMPLETE));
    }

    /** Checks, after any wait, that the request may still run; its engines were just picked. */
    private EnginePlan begin(RequestContext context, EnginePlan plan) throws RefusalException {
        mRoutes.recheck(context);
        int before = mAttempts.begin(context);
        logPlaced(context, plan, before);
        return plan;
    }

    private Mono<Optional<KvSource>> source(
            RequestContext context, EngineSeat seat, Optional<KvSource> kept) {
        if (kept.filter(this::isFetchable).isPresent()) {
            seat.room().markRead();
            return Mono.just(kept);
        }
        return release(kept).then(Mono.defer(() -> readPrompt(context, seat)));
    }

    private boolean isFetchable(KvSource source) {
        return mTicker.nowNanos() - source.fetchUntilNanos() < 0;
    }

    /** Frees a prompt that is not used any more; nothing waits for that. */
    private Mono<Void> release(Optional<KvSource> source) {
        return Mono.fromRunnable(() -> source.ifPresent(s -> mClient.release(s).subscribe()));
    }

    private Mono<Optional<KvSource>> readPrompt(RequestContext context, EngineSeat seat) {
        return callPrefill(context, seat.plan())
                .doOnNext(
                        source -> {
                            if (source.isEmpty()) {
                                seat.room().markUnread(context.tokens().promptTokens());
                            }
                        });
    }

    private Mono<Optional<KvSource>> callPrefill(RequestContext context, EnginePlan plan) {
        if (plan.prefill().isEmpty() || !mAttempts.allowsExtraCall(context)) {
            return Mono.just(Optional.empty());
        }
        long limitMillis = (long) (context.route().targetLatencyMillis() * PREFILL_TARGET_SHARE);
        long lifeMillis = mGate.capacity(context.service()).handleTtlMillis();
        return mPrefill.call(context, plan.prefill().get(), limitMillis, lifeMillis);
    }

    private Flux<AnswerPart> decode(
            RequestContext context,
            StreamProgress progress,
            EngineSeat seat,
            Optional<KvSource> source) {
        long startNanos = mTicker.nowNanos();
        long leftMillis = context.leftMillis(startNanos);
        LiveServer server = seat.plan().decode();
        if (!mState.servers().isUsable(server, startNanos)) {
            return goOn(context, progress, server, leaving(server), source);
        }
        Flux<AnswerPart> parts =
                mClient.exchange(
                        context.to(
                                server,
                                ServerRequest.Purpose.RUN,
                                leftMillis,
                                source,
                                progress.lastEventId()),
                        context.body(),
                        Step.DECODE,
                        Duration.ofMillis(Math.max(1, leftMillis)));
        return watched(context, server, parts)
                .doOnNext(part -> seat.room().markRead())
                .switchOnFirst(
                        (first, all) ->
                                first.get() instanceof AnswerPart.Head head
                                                && head.head().outcome() == AttemptOutcome.ANSWERED
                                        ? events(context, progress, seat, head, all, startNanos)
                                        : rejected(server, all))
                .onErrorResume(CallFailure.class, e -> goOn(context, progress, server, e, source));
    }

    /** The engine was usable when it was picked, before its prompt was read elsewhere. */
    private static CallFailure leaving(LiveServer server) {
        return new CallFailure(
                Step.DECODE,
                new RemoteName(server.id().value()),
                AttemptOutcome.NOT_SENT,
                "the engine has begun to leave");
    }

    /** Watches the silence of a stream that can go on elsewhere; any other is waited for. */
    private Flux<AnswerPart> watched(
            RequestContext context, LiveServer server, Flux<AnswerPart> parts) {
        if (!context.route().kind().isRepeatable()) {
            return parts;
        }
        long firstMillis = (long) (context.route().targetLatencyMillis() * FIRST_EVENT_TARGETS);
        Duration first = Duration.ofMillis(Math.max(firstMillis, LONGEST_SILENCE.toMillis()));
        return parts.timeout(Mono.delay(first), part -> Mono.delay(LONGEST_SILENCE))
                .onErrorMap(
                        TimeoutException.class,
                        e ->
                                new CallFailure(
                                        Step.DECODE,
                                        new RemoteName(server.id().value()),
                                        AttemptOutcome.UNKNOWN,
                                        "the stream fell silent"));
    }

    private Flux<AnswerPart> events(
            RequestContext context,
            StreamProgress progress,
            EngineSeat seat,
            AnswerPart.Head head,
            Flux<AnswerPart> all,
            long startNanos) {
        LiveServer server = seat.plan().decode();
        mAttempts.answered(server, startNanos);
        mGate.started(context, seat);
        Flux<AnswerPart> bytes =
                all.skip(1)
                        .map(part -> progress.take(((AnswerPart.Bytes) part).bytes()))
                        .concatWith(Mono.fromSupplier(progress::finish))
                        .filter(ready -> ready.length > 0)
                        .map(AnswerPart.Bytes::new);
        context.attempts().record(server.id(), AttemptOutcome.ANSWERED);
        if (progress.isHeadPassed()) {
            return bytes;
        }
        progress.passHead();
        return Flux.concat(Mono.just(head), bytes);
    }

    /** Reads a rejection to its end and turns it into an error, or passes it on as it is. */
    private static Flux<AnswerPart> rejected(LiveServer server, Flux<AnswerPart> all) {
        return all.collectList()
                .flatMapMany(
                        parts -> {
                            Optional<ResponseHead> head =
                                    WholeAnswer.of(parts).map(WholeAnswer::head);
                            return Flux.error(
                                    new CallFailure(
                                            Step.DECODE,
                                            new RemoteName(server.id().value()),
                                            head.map(ResponseHead::outcome)
                                                    .orElse(AttemptOutcome.UNKNOWN),
                                            head.map(h -> "status " + h.status())
                                                    .orElse("no answer"),
                                            parts));
                        });
    }

    private Flux<AnswerPart> goOn(
            RequestContext context,
            StreamProgress progress,
            LiveServer server,
            CallFailure failure,
            Optional<KvSource> source) {
        progress.breakOff();
        NextStep next = mAttempts.failed(context, server, failure.outcome(), failure.getMessage());
        Optional<KvSource> unused = source.filter(s -> isUnfetched(failure.outcome()));
        return switch (next) {
            case ANSWER ->
                    progress.isHeadPassed()
                            ? Flux.error(failure)
                            : Flux.fromIterable(failure.parts());
            case TRY_AGAIN -> resume(context, progress, unused);
            case REFUSE, FAIL ->
                    release(unused).thenMany(Flux.error(mAttempts.refusal(context, server, next)));
        };
    }

    /** Returns whether an engine that failed so has not tried to fetch the prompt. */
    private static boolean isUnfetched(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.WRONG_SERVER;
    }

    private Flux<AnswerPart> resume(
            RequestContext context, StreamProgress progress, Optional<KvSource> unused) {
        if (progress.isHeadPassed()) {
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
                        context.leftMillis(mTicker.nowNanos()),
                        mState.revision()));
    }
}
