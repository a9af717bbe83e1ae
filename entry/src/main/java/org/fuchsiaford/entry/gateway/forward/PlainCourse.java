package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.attempt.NextStep;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;
import org.fuchsiaford.entry.gateway.protocol.ServerRequest;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.ServerSelector;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Gets the whole answer of a plain service, by repeated attempts where the route allows them.
 *
 * <p>Invariant: an answer is passed on only after its last byte has come. Thread-safe.
 */
public final class PlainCourse {
    /** When to come back if every server is full. */
    private static final long FULL_RETRY_MILLIS = 100;

    /** When to come back if no server is known. */
    private static final long NO_SERVER_RETRY_MILLIS = 300;

    /** A repeatable request leaves a server that takes this many times the target. */
    private static final long PATIENCE_TARGETS = 2;

    private final GatewayState mState;
    private final RouteGate mGate;
    private final ServerSelector mSelector;
    private final LoadTracker mLoads;
    private final ServerClient mClient;
    private final Attempts mAttempts;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /** Creates a course. */
    public PlainCourse(
            GatewayState state,
            RouteGate gate,
            ServerSelector selector,
            LoadTracker loads,
            ServerClient client,
            Attempts attempts,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mGate = gate;
        mSelector = selector;
        mLoads = loads;
        mClient = client;
        mAttempts = attempts;
        mLog = log;
        mTicker = ticker;
    }

    /** Runs a request; fails with {@link RefusalException}. */
    Mono<WholeAnswer> run(RequestContext context) {
        return Mono.fromCallable(() -> pick(context)).flatMap(server -> attempt(context, server));
    }

    private LiveServer pick(RequestContext context) throws RefusalException {
        mGate.recheck(context);
        long nowNanos = mTicker.nowNanos();
        List<LiveServer> servers = mState.servers().usable(context.service(), nowNanos);
        return mSelector
                .pick(servers, context.attempts().failedServers(), nowNanos)
                .orElseThrow(() -> refusal(context, servers.isEmpty()));
    }

    private static RefusalException refusal(RequestContext context, boolean none) {
        String reason = none ? "no backend server is known" : "all backend servers are full";
        return context.unplaced(
                none ? NO_SERVER_RETRY_MILLIS : FULL_RETRY_MILLIS,
                context.attempts().mayHaveRun()
                        ? "an attempt failed and no other backend server is free"
                        : reason);
    }

    private Mono<WholeAnswer> attempt(RequestContext context, LiveServer server) {
        long startNanos = mTicker.nowNanos();
        long leftMillis = context.leftMillis(startNanos);
        int before = mAttempts.begin(context);
        logPlaced(context, server, before, leftMillis);
        ServerLoad load = new ServerLoad(server.id(), 1, 0, 0);
        mLoads.add(load);
        return mClient.exchange(
                        context.to(
                                server,
                                ServerRequest.Purpose.RUN,
                                leftMillis,
                                Optional.empty(),
                                context.caller().lastEventId()),
                        context.body(),
                        Step.FORWARD,
                        patience(context, leftMillis))
                .collectList()
                .flatMap(parts -> whole(server, parts))
                .doFinally(signal -> mLoads.remove(load))
                .flatMap(answer -> judge(context, server, answer, startNanos))
                .onErrorResume(
                        CallFailure.class,
                        e -> goOn(context, server, e.outcome(), e.getMessage(), null));
    }

    private Duration patience(RequestContext context, long leftMillis) {
        boolean mayLeave =
                context.route().kind().isRepeatable() && context.route().maxServers() > 1;
        long millis =
                mayLeave && !context.attempts().mayHaveRun()
                        ? Math.min(
                                leftMillis,
                                context.route().targetLatencyMillis() * PATIENCE_TARGETS)
                        : leftMillis;
        return Duration.ofMillis(Math.max(1, millis));
    }

    private static Mono<WholeAnswer> whole(LiveServer server, List<AnswerPart> parts) {
        return WholeAnswer.of(parts)
                .map(Mono::just)
                .orElseGet(
                        () ->
                                Mono.error(
                                        new CallFailure(
                                                Step.FORWARD,
                                                new RemoteName(server.id().value()),
                                                AttemptOutcome.UNKNOWN,
                                                "the answer is empty")));
    }

    private Mono<WholeAnswer> judge(
            RequestContext context, LiveServer server, WholeAnswer answer, long startNanos) {
        ResponseHead head = answer.head();
        if (head.outcome() == AttemptOutcome.ANSWERED) {
            mAttempts.answered(server, startNanos);
            context.attempts().record(server.id(), AttemptOutcome.ANSWERED);
            return Mono.just(answer);
        }
        return goOn(context, server, head.outcome(), "status " + head.status(), answer);
    }

    private Mono<WholeAnswer> goOn(
            RequestContext context,
            LiveServer server,
            AttemptOutcome outcome,
            String reason,
            WholeAnswer answer) {
        NextStep next = mAttempts.failed(context, server, outcome, reason);
        return switch (next) {
            case ANSWER -> Mono.just(answer);
            case TRY_AGAIN -> run(context);
            case REFUSE, FAIL -> Mono.error(mAttempts.refusal(context, server, next));
        };
    }

    private void logPlaced(RequestContext context, LiveServer server, int before, long leftMillis) {
        ServerLoad load = mLoads.total(server.id());
        mLog.write(
                new Decision.Placed(
                        context.caller().id().value(),
                        server.id().value(),
                        null,
                        before + 1,
                        load.requests(),
                        load.tokens(),
                        0,
                        0,
                        leftMillis,
                        mState.revision()));
    }
}
