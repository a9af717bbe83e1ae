package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.attempt.NextStep;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.entry.gateway.fleet.RequestQuarantine;
import org.fuchsiaford.entry.gateway.fleet.ServerPermits;
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
import org.fuchsiaford.registry.ServerBackoff;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.ServerSelector;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Forwards requests whose responses are not streams, and retries failed attempts where the route
 * allows it.
 *
 * <p>Invariant: a response is forwarded only after its last byte has been received. Thread-safe.
 */
public final class BufferedForwarder {
    /** Retry delay for callers if all servers are full. */
    private static final long FULL_RETRY_MILLIS = 100;

    /** Retry delay for callers if no server is known. */
    private static final long NO_SERVER_RETRY_MILLIS = 300;

    /** Range over which the retries of requests over the limits of servers are spread. */
    private static final long LIMITED_RETRY_SPREAD_MILLIS = 1_000;

    /**
     * Time after which a repeatable request without a response is sent to another server as well,
     * as a multiple of the latency target.
     */
    private static final long ALTERNATIVE_DELAY_FACTOR = 2;

    /** How often a request that waits for its response is checked for another server. */
    private static final Duration ALTERNATIVE_CHECK_INTERVAL = Duration.ofMillis(50);

    private final GatewayState mState;
    private final ServerBackoff mBackoff;
    private final ServerPermits mPermits;
    private final RequestQuarantine mQuarantine;
    private final RouteAdmission mAdmission;
    private final ServerSelector mSelector;
    private final SeatAdmission mSeats;
    private final LoadTracker mLoads;
    private final ServerClient mClient;
    private final ResponseMemory mMemory;
    private final AttemptRecorder mAttempts;
    private final DoubleSupplier mRandom;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /**
     * Creates a forwarder.
     *
     * @param random a source of uniformly distributed random numbers from 0 to 1
     */
    public BufferedForwarder(
            GatewayState state,
            ServerBackoff backoff,
            ServerPermits permits,
            RequestQuarantine quarantine,
            RouteAdmission admission,
            ServerSelector selector,
            SeatAdmission seats,
            LoadTracker loads,
            ServerClient client,
            ResponseMemory memory,
            AttemptRecorder attempts,
            DoubleSupplier random,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mBackoff = backoff;
        mPermits = permits;
        mQuarantine = quarantine;
        mAdmission = admission;
        mSelector = selector;
        mSeats = seats;
        mLoads = loads;
        mClient = client;
        mMemory = memory;
        mAttempts = attempts;
        mRandom = random;
        mLog = log;
        mTicker = ticker;
    }

    /** Runs a request and returns its response; fails with {@link RefusalException}. */
    Mono<CompleteResponse> run(RequestContext context) {
        return mQuarantine
                .admit(context::promptParts)
                .flatMap(
                        waitNanos ->
                                waitNanos == 0
                                        ? place(context)
                                        : Mono.error(quarantineRefusal(context, waitNanos)));
    }

    private static RefusalException quarantineRefusal(RequestContext context, long waitNanos) {
        return context.placementRefusal(
                TimeUnit.NANOSECONDS.toMillis(waitNanos), "the same request has crashed servers");
    }

    private Mono<CompleteResponse> place(RequestContext context) {
        return Mono.fromCallable(() -> candidates(context))
                .flatMap(
                        candidates ->
                                mSeats.isAsked(context, candidates.servers(), candidates.eligible())
                                        ? placeInTurn(context, candidates)
                                        : placeByChoice(context, candidates));
    }

    private Mono<CompleteResponse> placeByChoice(RequestContext context, Candidates candidates) {
        return Mono.fromCallable(() -> new ChosenSeat(pick(context, candidates), mLoads))
                .flatMap(seat -> placeAt(context, seat));
    }

    /** What allows a request is checked again after it has waited for its seat. */
    private Mono<CompleteResponse> placeInTurn(RequestContext context, Candidates first) {
        return mSeats.acquire(context, first.servers(), first.eligible())
                .flatMap(
                        granted ->
                                Mono.fromCallable(() -> candidates(context))
                                        .flatMap(
                                                now ->
                                                        granted.isPresent()
                                                                ? placeAt(context, granted.get())
                                                                : placeByChoice(context, now))
                                        .doFinally(signal -> granted.ifPresent(Seat::release)));
    }

    private Mono<CompleteResponse> placeAt(RequestContext context, Seat seat) {
        LiveServer server = seat.server();
        return mPermits.acquire(server)
                .flatMap(
                        permitted -> {
                            if (permitted && isAccepting(server)) {
                                return attempt(context, seat);
                            }
                            seat.release();
                            return place(context);
                        });
    }

    /** Checks a server again, since it may have said more of itself while a permit was awaited. */
    private boolean isAccepting(LiveServer server) {
        long nowNanos = mTicker.nowNanos();
        return mState.servers().isUsable(server, nowNanos) && !mBackoff.isActive(server, nowNanos);
    }

    /**
     * The servers of a request.
     *
     * @param servers those of its service
     * @param available those that it may be sent to now
     * @param eligible the same without those that failed it and, if there are others, cold ones
     */
    private record Candidates(
            List<LiveServer> servers, List<LiveServer> available, List<LiveServer> eligible) {}

    private Candidates candidates(RequestContext context) throws RefusalException {
        mAdmission.reauthorize(context);
        long nowNanos = mTicker.nowNanos();
        List<LiveServer> servers =
                mState.servers().usable(context.service(), context.allowedRegions(), nowNanos);
        long retryAfterMillis = mBackoff.millisUntilFirstEnds(servers, nowNanos);
        if (retryAfterMillis > 0) {
            throw context.placementRefusal(
                    retryAfterMillis, "all backend servers want no requests now");
        }
        List<LiveServer> accepting = mBackoff.acceptingNow(servers, nowNanos);
        long permitMillis = mPermits.millisUntilFirst(accepting, nowNanos);
        if (permitMillis > 0) {
            long spreadMillis = (long) (mRandom.getAsDouble() * LIMITED_RETRY_SPREAD_MILLIS);
            throw context.placementRefusal(
                    permitMillis + spreadMillis, "all backend servers are at their limits");
        }
        Set<BackendServerId> inProgress = context.attempts().serversInProgress();
        List<LiveServer> available =
                mPermits.availableNow(accepting, nowNanos).stream()
                        .filter(server -> !inProgress.contains(server.id()))
                        .toList();
        Set<BackendServerId> tried = context.attempts().triedServers();
        List<LiveServer> untried =
                available.stream().filter(server -> !tried.contains(server.id())).toList();
        List<LiveServer> warm = mPermits.warm(untried, nowNanos);
        List<LiveServer> preferred = warm.isEmpty() ? untried : warm;
        return new Candidates(servers, available, preferred.isEmpty() ? available : preferred);
    }

    private LiveServer pick(RequestContext context, Candidates candidates) throws RefusalException {
        Set<BackendServerId> tried = context.attempts().triedServers();
        long nowNanos = mTicker.nowNanos();
        return mSelector
                .pick(candidates.eligible(), tried, nowNanos)
                .or(() -> mSelector.pick(candidates.available(), tried, nowNanos))
                .orElseThrow(() -> noServerRefusal(context, candidates.servers().isEmpty()));
    }

    /** Returns whether there is a server that this request was not sent to. */
    private boolean hasAlternative(RequestContext context) {
        try {
            return !context.attempts()
                    .triedServers()
                    .contains(pick(context, candidates(context)).id());
        } catch (RefusalException e) {
            // The attempt in progress goes on; this is no answer to the caller.
            return false;
        }
    }

    private static RefusalException noServerRefusal(RequestContext context, boolean noneKnown) {
        String reason = noneKnown ? "no backend server is known" : "all backend servers are full";
        return context.placementRefusal(
                noneKnown ? NO_SERVER_RETRY_MILLIS : FULL_RETRY_MILLIS,
                context.attempts().mayHaveRun()
                        ? "an attempt failed and no other backend server is free"
                        : reason);
    }

    private Mono<CompleteResponse> attempt(RequestContext context, Seat seat) {
        boolean mayRace = context.route().kind().isRepeatable() && context.route().maxServers() > 1;
        return mayRace && context.startRace()
                ? attemptWithAlternative(context, seat)
                : send(context, seat);
    }

    /**
     * Sends a request, and sends it to another server as well if there is no response for a while.
     * The response that is complete first counts; none of the two is given up for the other before.
     */
    private Mono<CompleteResponse> attemptWithAlternative(RequestContext context, Seat seat) {
        return Mono.defer(
                () -> {
                    var race = new AttemptRace();
                    return race.run(
                            send(context, seat),
                            alternative(context, race),
                            () -> recordOvertaken(context));
                });
    }

    private Mono<CompleteResponse> alternative(RequestContext context, AttemptRace race) {
        long delayMillis = context.route().targetLatencyMillis() * ALTERNATIVE_DELAY_FACTOR;
        long delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMillis);
        return Flux.interval(Duration.ofMillis(delayMillis), ALTERNATIVE_CHECK_INTERVAL)
                .filter(i -> mTicker.nowNanos() - context.lastSentNanos() >= delayNanos)
                .filter(i -> hasAlternative(context) && race.isInProgress())
                .filter(i -> mAttempts.tryAcquireAlternative(context))
                .next()
                .flatMap(i -> race.startSecond() ? run(context) : Mono.empty());
    }

    /** Records the servers that are still at work although another one has answered. */
    private void recordOvertaken(RequestContext context) {
        Set<BackendServerId> inProgress = context.attempts().serversInProgress();
        mState.servers().usable(context.service(), mTicker.nowNanos()).stream()
                .filter(server -> inProgress.contains(server.id()))
                .forEach(server -> mAttempts.recordOvertaken(context, server));
    }

    private Mono<CompleteResponse> send(RequestContext context, Seat seat) {
        return Mono.defer(
                () ->
                        context.attempts().tryBegin(seat.server().id())
                                ? exchange(context, seat, mAttempts.recordSend(context))
                                : Mono.error(noAttemptRefusal(context)));
    }

    private static RefusalException noAttemptRefusal(RequestContext context) {
        return context.placementRefusal(
                FULL_RETRY_MILLIS, "as many servers as allowed may run the request");
    }

    private Mono<CompleteResponse> exchange(RequestContext context, Seat seat, int previousSends) {
        LiveServer server = seat.server();
        long startNanos = mTicker.nowNanos();
        long remainingMillis = context.remainingMillis(startNanos);
        context.recordExchange(server.id(), startNanos);
        logPlaced(context, server, previousSends, remainingMillis);
        seat.begin();
        RemoteName remote = new RemoteName(server.id().value());
        return mClient.exchange(
                        context.serverRequest(
                                server,
                                ServerRequest.Purpose.RUN,
                                remainingMillis,
                                Optional.empty(),
                                context.caller().lastEventId()),
                        context.body(),
                        Step.FORWARD,
                        Duration.ofMillis(Math.max(1, remainingMillis)))
                .as(parts -> mMemory.collect(Step.FORWARD, remote, parts))
                .doOnNext(response -> recordSeat(context, seat, response.head(), startNanos))
                .doFinally(signal -> seat.release())
                .flatMap(response -> handleResponse(context, server, response, startNanos))
                .onErrorResume(BackendCallException.class, e -> handleFailure(context, server, e));
    }

    private void recordSeat(RequestContext context, Seat seat, ResponseHead head, long startNanos) {
        if (head.outcome().provesRun()) {
            seat.complete(mTicker.nowNanos() - startNanos);
        } else if (head.outcome() == AttemptOutcome.NOT_RUN) {
            mSeats.recordRejection(context);
            seat.reject();
        }
    }

    private Mono<CompleteResponse> handleResponse(
            RequestContext context, LiveServer server, CompleteResponse response, long startNanos) {
        ResponseHead head = response.head();
        if (head.outcome().provesRun()) {
            mQuarantine.recordResponse(context.promptParts(), startNanos);
        }
        if (head.outcome() == AttemptOutcome.ANSWERED) {
            mAttempts.recordSuccess(server, startNanos);
            context.attempts().record(server.id(), AttemptOutcome.ANSWERED);
            return Mono.just(response);
        }
        NextStep next =
                mAttempts.recordFailure(context, server, head.outcome(), "status " + head.status());
        return proceed(context, server, next, response);
    }

    private Mono<CompleteResponse> handleFailure(
            RequestContext context, LiveServer server, BackendCallException failure) {
        if (failure.isBrokenOff()) {
            mQuarantine.recordCrash(server.id(), context.promptParts());
        }
        return proceed(context, server, mAttempts.recordFailure(context, server, failure), null);
    }

    /**
     * Continues after a failed attempt. If no later attempt has a response, that of this one is
     * passed on.
     *
     * @param response the response of the attempt; null if there is none
     */
    private Mono<CompleteResponse> proceed(
            RequestContext context, LiveServer server, NextStep next, CompleteResponse response) {
        return switch (next) {
            case ANSWER -> Mono.just(response);
            case TRY_AGAIN ->
                    run(context)
                            .onErrorResume(
                                    RefusalException.class,
                                    e ->
                                            response != null
                                                            && response.head().outcome().provesRun()
                                                    ? Mono.just(response)
                                                    : Mono.error(e));
            case REFUSE, FAIL -> Mono.error(mAttempts.refusal(context, server, next));
        };
    }

    private void logPlaced(
            RequestContext context, LiveServer server, int previousSends, long remainingMillis) {
        ServerLoad load = mLoads.total(server.id());
        mLog.write(
                new Decision.Placed(
                        context.caller().id().value(),
                        server.id().value(),
                        server.version().value(),
                        server.startedMillis(),
                        null,
                        previousSends + 1,
                        load.requests(),
                        load.tokens(),
                        0,
                        0,
                        remainingMillis,
                        mState.revision()));
    }
}
