package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.attempt.NextStep;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.KvSource;
import org.fuchsiaford.entry.gateway.protocol.ServerRequest;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerBackoff;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.selection.EnginePlan;
import org.fuchsiaford.selection.EnginePool;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SynchronousSink;

/**
 * Forwards requests whose responses are event streams of model engines: acquires engines, calls a
 * prefill engine if one is planned, forwards the events of the decode engine, and resumes a broken
 * stream on another engine where the route allows it.
 *
 * <p>Invariant: the forwarded parts are one head and the events of one stream without gap or
 * duplicate; a stream that cannot be completed ends with an error. Thread-safe.
 */
public final class StreamForwarder {
    /**
     * Timeout of a prefill call, as a multiple of the latency target; then the decode engine
     * prefills the prompt itself.
     */
    private static final double PREFILL_TIMEOUT_FACTOR = 1.2;

    /** Maximum size of an event of a resumable stream, which is kept until it is complete. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final GatewayState mState;
    private final ServerBackoff mBackoff;
    private final RouteAdmission mRouteAdmission;
    private final EngineAdmission mEngineAdmission;
    private final EnginePool mPool;
    private final LoadTracker mLoads;
    private final ServerClient mClient;
    private final RejectionReader mRejections;
    private final PrefillClient mPrefill;
    private final StreamVersions mVersions;
    private final StreamSilence mSilence;
    private final AttemptRecorder mAttempts;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /** Creates a forwarder. */
    public StreamForwarder(
            GatewayState state,
            ServerBackoff backoff,
            RouteAdmission routeAdmission,
            EngineAdmission engineAdmission,
            EnginePool pool,
            LoadTracker loads,
            ServerClient client,
            ResponseMemory memory,
            PrefillClient prefill,
            StreamVersions versions,
            AttemptRecorder attempts,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mBackoff = backoff;
        mRouteAdmission = routeAdmission;
        mEngineAdmission = engineAdmission;
        mPool = pool;
        mLoads = loads;
        mClient = client;
        mRejections = new RejectionReader(memory);
        mPrefill = prefill;
        mVersions = versions;
        mSilence = new StreamSilence(pool, backoff, attempts, ticker);
        mAttempts = attempts;
        mLog = log;
        mTicker = ticker;
    }

    /**
     * Runs a request and returns the parts of its response. Fails with {@link RefusalException}
     * before the head, and with any exception after it.
     */
    Flux<ResponsePart> run(RequestContext context) {
        return mVersions
                .takeUp(context)
                .thenMany(
                        Flux.defer(
                                () -> attempt(context, context.streamProgress(), Optional.empty())))
                .doFinally(signal -> mAttempts.recordStreamEnd(context));
    }

    /**
     * Makes one attempt.
     *
     * @param kept the unfetched KV cache from an earlier attempt; reused if it has not expired
     */
    private Flux<ResponsePart> attempt(
            RequestContext context, StreamProgress progress, Optional<KvSource> kept) {
        return mEngineAdmission
                .acquire(context)
                .onErrorResume(e -> releaseKvCache(kept).then(Mono.error(e)))
                .flatMapMany(assignment -> attempt(context, progress, assignment, kept));
    }

    private Flux<ResponsePart> attempt(
            RequestContext context,
            StreamProgress progress,
            EngineAssignment assignment,
            Optional<KvSource> kept) {
        return Mono.fromCallable(() -> checkAndRecordSend(context, assignment.plan()))
                .flatMap(plan -> kvSource(context, assignment, kept))
                .flatMapMany(source -> decode(context, progress, assignment, source))
                .doOnComplete(
                        () ->
                                assignment
                                        .hold()
                                        .complete(sinceGrantNanos(assignment), context.pace()))
                .doFinally(signal -> assignment.hold().release());
    }

    private long sinceGrantNanos(EngineAssignment assignment) {
        return mTicker.nowNanos() - assignment.grantedNanos();
    }

    /**
     * Checks that the request may still run, since it may have been queued, and records the send.
     */
    private EnginePlan checkAndRecordSend(RequestContext context, EnginePlan plan)
            throws RefusalException {
        mRouteAdmission.reauthorize(context);
        int previousSends = mAttempts.recordSend(context);
        logPlaced(context, plan, previousSends);
        return plan;
    }

    private Mono<Optional<KvSource>> kvSource(
            RequestContext context, EngineAssignment assignment, Optional<KvSource> kept) {
        SoftwareVersion version = assignment.plan().decode().version();
        if (kept.filter(s -> isFetchable(s, version)).isPresent()) {
            assignment.hold().recordPrefillNotNeeded();
            return Mono.just(kept);
        }
        return releaseKvCache(kept).then(Mono.defer(() -> prefillPrompt(context, assignment)));
    }

    private boolean isFetchable(KvSource source, SoftwareVersion version) {
        return source.version().equals(version)
                && !isEvacuated(source)
                && mTicker.nowNanos() - source.fetchUntilNanos() < 0;
    }

    private boolean isEvacuated(KvSource source) {
        return mState.servers().evacuated().contains(source.failureDomain());
    }

    /** Releases unused KV cache in the background; in evacuated failure domains it expires. */
    private Mono<Void> releaseKvCache(Optional<KvSource> source) {
        return Mono.fromRunnable(
                () ->
                        source.filter(s -> !isEvacuated(s))
                                .ifPresent(s -> mClient.releaseKvCache(s).subscribe()));
    }

    private Mono<Optional<KvSource>> prefillPrompt(
            RequestContext context, EngineAssignment assignment) {
        if (assignment.plan().prefill().isEmpty()) {
            return Mono.just(Optional.empty());
        }
        long startNanos = mTicker.nowNanos();
        return callPrefill(context, assignment.plan())
                .doOnNext(
                        source -> {
                            if (source.isPresent()) {
                                assignment.hold().recordPrefill(mTicker.nowNanos() - startNanos);
                            } else {
                                assignment.hold().recordPrefillFailure();
                            }
                        });
    }

    private Mono<Optional<KvSource>> callPrefill(RequestContext context, EnginePlan plan) {
        LiveServer engine = plan.prefill().get();
        long nowNanos = mTicker.nowNanos();
        // The plan may come from a coordinator that does not yet know that the engine is leaving.
        boolean unusable = !mState.servers().isUsable(engine, nowNanos);
        if (unusable
                || mBackoff.isActive(engine, nowNanos)
                || !mAttempts.allowsPrefillCall(context)) {
            return Mono.just(Optional.empty());
        }
        long timeoutMillis =
                (long) (context.route().targetLatencyMillis() * PREFILL_TIMEOUT_FACTOR);
        long ttlMillis = mPool.capacity(context.service()).handleTtlMillis();
        return mPrefill.prefill(context, engine, timeoutMillis, ttlMillis);
    }

    private Flux<ResponsePart> decode(
            RequestContext context,
            StreamProgress progress,
            EngineAssignment assignment,
            Optional<KvSource> source) {
        LiveServer server = assignment.plan().decode();
        boolean goesOn = context.version().isPresent() && isAccepting(server);
        return (goesOn ? mVersions.confirm(server) : Mono.just(true))
                .flatMapMany(
                        may ->
                                may && isAccepting(server)
                                        ? send(context, progress, assignment, current(source))
                                        : handleFailure(
                                                context,
                                                progress,
                                                assignment,
                                                unusable(server),
                                                source));
    }

    /** The failure domain of the prefill engine may have been evacuated since it was called. */
    private Optional<KvSource> current(Optional<KvSource> source) {
        return source.filter(s -> !isEvacuated(s));
    }

    private boolean isAccepting(LiveServer server) {
        long nowNanos = mTicker.nowNanos();
        return mState.servers().isUsable(server, nowNanos) && !mBackoff.isActive(server, nowNanos);
    }

    private Flux<ResponsePart> send(
            RequestContext context,
            StreamProgress progress,
            EngineAssignment assignment,
            Optional<KvSource> source) {
        long startNanos = mTicker.nowNanos();
        long remainingMillis = context.remainingMillis(startNanos);
        LiveServer server = assignment.plan().decode();
        if (!context.attempts().tryBegin(server.id())) {
            return Flux.error(
                    context.placementRefusal(
                            StreamVersions.BEGIN_ANEW_RETRY_MILLIS,
                            "the request may not be sent any more"));
        }
        context.recordExchange(server.id(), startNanos);
        Flux<ResponsePart> parts =
                mClient.exchange(
                        context.serverRequest(
                                server,
                                ServerRequest.Purpose.RUN,
                                remainingMillis,
                                source,
                                progress.lastEventId()),
                        context.body(),
                        Step.DECODE,
                        Duration.ofMillis(Math.max(1, remainingMillis)));
        return mSilence.limit(context, server, parts)
                .switchOnFirst(
                        (first, all) ->
                                first.get() instanceof ResponsePart.Head head
                                                && head.head().outcome() == AttemptOutcome.ANSWERED
                                        ? forwardEvents(
                                                context,
                                                progress,
                                                assignment,
                                                head,
                                                all,
                                                startNanos)
                                        : mRejections.read(
                                                new RemoteName(server.id().value()), all))
                .onErrorResume(
                        BackendCallException.class,
                        e -> handleFailure(context, progress, assignment, e, source));
    }

    /**
     * Returns the failure for an engine that accepted requests when it was selected but no longer
     * does after the prefill call, or that has started anew.
     */
    private static BackendCallException unusable(LiveServer server) {
        return BackendCallException.notCalled(
                Step.DECODE,
                new RemoteName(server.id().value()),
                "the engine wants no more requests, or has started anew");
    }

    private Flux<ResponsePart> forwardEvents(
            RequestContext context,
            StreamProgress progress,
            EngineAssignment assignment,
            ResponsePart.Head head,
            Flux<ResponsePart> all,
            long startNanos) {
        LiveServer server = assignment.plan().decode();
        if (!progress.continuesWith(head.head())) {
            return Flux.error(
                    failure(server, "status " + head.head().status() + " within a stream"));
        }
        mAttempts.recordSuccess(server, startNanos);
        assignment.hold().recordFirstEvent(sinceGrantNanos(assignment));
        mVersions.recordServed(context, server);
        Flux<ResponsePart> body =
                all.skip(1)
                        .<byte[]>handle((part, sink) -> append(context, server, part, sink))
                        .concatWith(Mono.defer(() -> endOfStream(server, progress)))
                        .filter(ready -> ready.length > 0)
                        .map(ResponsePart.Body::new);
        context.attempts().record(server.id(), AttemptOutcome.ANSWERED);
        progress.beginResponse(head.head());
        if (progress.isHeadForwarded()) {
            return body;
        }
        progress.markHeadForwarded(head.head());
        return Flux.concat(Mono.just(head), body);
    }

    private void append(
            RequestContext context,
            LiveServer server,
            ResponsePart part,
            SynchronousSink<byte[]> sink) {
        StreamProgress progress = context.streamProgress();
        byte[] bytes = ((ResponsePart.Body) part).bytes();
        long nowNanos = mTicker.nowNanos();
        context.recordReceived(bytes.length, nowNanos);
        byte[] ready = progress.append(bytes);
        if (ready.length > 0) {
            context.recordEvents(nowNanos);
        }
        if (progress.partialEventBytes() > MAX_EVENT_BYTES) {
            sink.error(failure(server, "an event exceeds " + MAX_EVENT_BYTES + " bytes"));
            return;
        }
        sink.next(ready);
        progress.violation().ifPresent(reason -> sink.error(failure(server, reason)));
    }

    private static BackendCallException failure(LiveServer server, String reason) {
        return new BackendCallException(
                Step.DECODE, new RemoteName(server.id().value()), AttemptOutcome.UNKNOWN, reason);
    }

    /** Returns the bytes left to forward; fails if the engine has broken the stream off. */
    private static Mono<byte[]> endOfStream(LiveServer server, StreamProgress progress) {
        return progress.isTruncated()
                ? Mono.error(
                        BackendCallException.brokenOff(
                                Step.DECODE,
                                new RemoteName(server.id().value()),
                                "the stream ended without a complete last event, framed by "
                                        + progress.framing()))
                : Mono.fromSupplier(progress::remainingBytes);
    }

    private Flux<ResponsePart> handleFailure(
            RequestContext context,
            StreamProgress progress,
            EngineAssignment assignment,
            BackendCallException failure,
            Optional<KvSource> source) {
        LiveServer server = assignment.plan().decode();
        if (failure.isBrokenOff()) {
            assignment.hold().breakOff();
        } else {
            assignment.hold().release();
        }
        progress.discardPartialEvent();
        NextStep next = mAttempts.recordFailure(context, server, failure);
        Optional<KvSource> unused = source.filter(s -> isUnfetched(failure.outcome()));
        return switch (next) {
            case ANSWER ->
                    progress.isHeadForwarded()
                            ? Flux.error(failure)
                            : Flux.fromIterable(failure.responseParts());
            case TRY_AGAIN -> resume(context, progress, unused);
            case REFUSE, FAIL ->
                    releaseKvCache(unused)
                            .thenMany(Flux.error(mAttempts.refusal(context, server, next)));
        };
    }

    /** Returns whether this outcome proves that the engine has not fetched the KV cache. */
    private static boolean isUnfetched(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.WRONG_SERVER;
    }

    private Flux<ResponsePart> resume(
            RequestContext context, StreamProgress progress, Optional<KvSource> unused) {
        if (!progress.isContinuable()) {
            return releaseKvCache(unused)
                    .thenMany(
                            Flux.error(
                                    StreamVersions.notResumable(
                                            0, "what was forwarded cannot be continued")));
        }
        if (!progress.isHeadForwarded()) {
            return attempt(context, progress, unused);
        }
        return mVersions
                .isKnown(context)
                .flatMapMany(
                        known ->
                                known
                                        ? continueStream(context, progress, unused)
                                        : releaseKvCache(unused)
                                                .thenMany(
                                                        Flux.error(
                                                                StreamVersions.notResumable(
                                                                        0,
                                                                        "the server may have"
                                                                                + " restarted"))));
    }

    private Flux<ResponsePart> continueStream(
            RequestContext context, StreamProgress progress, Optional<KvSource> unused) {
        mLog.write(
                new Decision.Resumed(
                        context.caller().id().value(), progress.lastEventId().orElse(null)));
        return attempt(context, progress, unused);
    }

    private void logPlaced(RequestContext context, EnginePlan plan, int previousSends) {
        ServerLoad load = mLoads.total(plan.decode().id());
        mLog.write(
                new Decision.Placed(
                        context.caller().id().value(),
                        plan.decode().id().value(),
                        plan.decode().version().value(),
                        plan.decode().startedMillis(),
                        plan.prefill().map(p -> p.id().value()).orElse(null),
                        previousSends + 1,
                        load.requests(),
                        load.tokens(),
                        context.tokens().promptTokens(),
                        context.tokens().maxOutputTokens(),
                        context.remainingMillis(mTicker.nowNanos()),
                        mState.revision()));
    }
}
