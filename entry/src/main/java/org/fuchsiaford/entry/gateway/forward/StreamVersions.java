package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.engine.EngineRuns;
import org.fuchsiaford.entry.gateway.fleet.OriginTracker;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.selection.EnginePool;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Binds streams to the software version that began them.
 *
 * <p>Invariant: a stream goes on only if it is known which version began it, and only at engines
 * that are known to have that version; what the registry says of an engine may be out of date.
 * Thread-safe.
 */
public final class StreamVersions {
    /** Retry delay for callers who can only begin their streams anew. */
    static final long BEGIN_ANEW_RETRY_MILLIS = 100;

    /** Retry delay for callers while it cannot be found out where their streams began. */
    private static final long ORIGIN_RETRY_MILLIS = 400;

    /** Longer than an engine takes to state its run; none starts anew in a shorter time. */
    private static final long MAX_STATEMENT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private final GatewayState mState;
    private final EnginePool mPool;
    private final OriginTracker mOrigins;
    private final EngineRuns mRuns;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /** Creates the binding of the streams of one host. */
    public StreamVersions(
            GatewayState state,
            EnginePool pool,
            OriginTracker origins,
            EngineRuns runs,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mPool = pool;
        mOrigins = origins;
        mRuns = runs;
        mLog = log;
        mTicker = ticker;
    }

    /** Finds where a stream began that a caller takes up; refuses it if that is not known. */
    Mono<Void> takeUp(RequestContext context) {
        Optional<String> lastEventId = context.caller().lastEventId();
        if (lastEventId.isEmpty()) {
            return Mono.empty();
        }
        logTakenUp(context.caller(), lastEventId.get());
        return mOrigins.resolve(context.service(), RequestContext.streamKey(context.caller()))
                .flatMap(
                        origin ->
                                Mono.fromCallable(
                                        () -> {
                                            bind(context, origin);
                                            return origin;
                                        }))
                .then();
    }

    private void bind(RequestContext context, PeerMessage.OriginResponse origin)
            throws RefusalException {
        SoftwareVersion version = origin.version();
        mLog.write(
                new Decision.OriginFound(
                        context.caller().id().value(),
                        version == null ? null : version.value(),
                        origin.settled()));
        if (version == null) {
            throw notResumable(
                    origin.settled() ? BEGIN_ANEW_RETRY_MILLIS : ORIGIN_RETRY_MILLIS,
                    "it is not known which software version began the stream");
        }
        if (isGone(context.service(), version)) {
            throw notResumable(
                    BEGIN_ANEW_RETRY_MILLIS,
                    "no engine has the software version " + version + " that began the stream");
        }
        context.bindTo(version);
    }

    private boolean isGone(ServiceId service, SoftwareVersion version) {
        return mPool.usable(service, mTicker.nowNanos()).stream()
                .noneMatch(engine -> engine.version().equals(version));
    }

    /** Returns the refusal of a stream that may not go on. */
    static RefusalException notResumable(long retryMillis, String reason) {
        return RefusalException.notRunRetry(
                RefusalReason.NOT_RESUMABLE, retryMillis, Step.PLACE, reason);
    }

    private void logTakenUp(CallerRequest caller, String lastEventId) {
        mLog.write(
                new Decision.TakenUp(
                        caller.id().value(),
                        caller.resumes().map(RequestId::value).orElse(null),
                        lastEventId));
    }

    /**
     * Returns whether a stream may go on at an engine now, as the engine itself states it. It is
     * asked again if this host was suspended meanwhile.
     */
    Mono<Boolean> confirm(LiveServer engine) {
        return Mono.defer(
                () -> {
                    long startNanos = mTicker.nowNanos();
                    return mRuns.confirm(engine)
                            .flatMap(
                                    confirmed ->
                                            confirmed
                                                            && mTicker.nowNanos() - startNanos
                                                                    > MAX_STATEMENT_AGE_NANOS
                                                    ? confirm(engine)
                                                    : Mono.just(confirmed));
                });
    }

    /**
     * Records that a server has sent the head of a stream. If the stream begins there, it may go on
     * only at the version of that server.
     */
    void recordServed(RequestContext context, LiveServer server) {
        boolean begins = context.version().isEmpty();
        context.bindTo(server, mTicker.nowNanos());
        if (!context.route().kind().isRepeatable()) {
            return;
        }
        if (!begins) {
            recordStated(context);
        } else if (mRuns.isUndoubted(server)) {
            context.recordBegunUndoubted();
            mOrigins.record(RequestContext.streamKey(context.caller()), server);
        } else {
            mRuns.confirmBegun(server).subscribe(stated -> recordBegun(context, stated));
        }
    }

    private void recordBegun(RequestContext context, boolean stated) {
        if (stated) {
            recordStated(context);
        } else {
            mOrigins.recordUnknown(RequestContext.streamKey(context.caller()), context.service());
        }
    }

    private void recordStated(RequestContext context) {
        mOrigins.recordStated(
                RequestContext.streamKey(context.caller()),
                context.service(),
                context.version().get());
    }

    /**
     * Returns whether it is known which version began a stream. A server may come back under its ID
     * at another one.
     */
    Mono<Boolean> isKnown(RequestContext context) {
        return Mono.justOrEmpty(context.begunBy())
                .flatMap(server -> isKnown(context, server))
                .defaultIfEmpty(true);
    }

    private Mono<Boolean> isKnown(RequestContext context, LiveServer begunBy) {
        if (isStated(context, begunBy)) {
            return Mono.just(true);
        }
        Mono<Boolean> isCurrent =
                context.isBegunUndoubted()
                        ? mOrigins.confirmStateSince(context.begunNanos())
                        : Mono.just(false);
        return isCurrent
                .flatMap(known -> known ? Mono.just(true) : mRuns.confirm(begunBy))
                .map(known -> known && !mState.servers().isReplaced(begunBy.run()))
                .map(known -> known || isStated(context, begunBy));
    }

    private boolean isStated(RequestContext context, LiveServer begunBy) {
        return mRuns.isStatedSince(begunBy, context.begunNanos());
    }
}
