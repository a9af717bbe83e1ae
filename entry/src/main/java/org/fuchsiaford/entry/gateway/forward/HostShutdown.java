package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.shutdown.DurationHistory;
import org.fuchsiaford.shutdown.ShutdownPolicy;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The graceful stop of this host as far as requests are concerned. A stopping host first sends only
 * requests that will end in time, then ends all that are in progress.
 *
 * <p>Invariants: once the requests were ended, none is sent, and a request that is stated as not
 * run is never sent later. Thread-safe.
 */
public final class HostShutdown {
    /** Retry delay for callers of a stopping host, who look up other hosts and retry there. */
    private static final long RETRY_MILLIS = 50;

    private final Ticker mTicker;
    private final Map<String, DurationHistory> mHistories = new ConcurrentHashMap<>();
    private final Set<RequestContext> mInProgress = ConcurrentHashMap.newKeySet();
    private final Sinks.Empty<Void> mBegin = Sinks.empty();
    private final Sinks.Empty<Void> mEnd = Sinks.empty();
    private volatile Phase mPhase = new Phase(State.SERVING, 0, 0, 0);

    private enum State {
        SERVING,
        STOPPING,
        CLOSED,
        ENDED
    }

    /**
     * A phase and its times on the monotonic clock, which are not used while serving.
     *
     * @param startNanos when the stop was requested
     * @param leaveNanos when callers know that the host stops, and can use another one
     * @param endNanos when the requests that are in progress then are ended
     */
    private record Phase(State state, long startNanos, long leaveNanos, long endNanos) {
        Phase in(State next) {
            return new Phase(next, startNanos, leaveNanos, endNanos);
        }
    }

    /** Creates the state of a host that serves. */
    public HostShutdown(Ticker ticker) {
        mTicker = ticker;
    }

    /**
     * Starts the graceful stop.
     *
     * @param leaveNanos when callers will know that the host stops, on the monotonic clock
     * @param endNanos when {@link #end} will be called, on the monotonic clock
     */
    public void begin(long leaveNanos, long endNanos) {
        mPhase = new Phase(State.STOPPING, mTicker.nowNanos(), leaveNanos, endNanos);
        mBegin.tryEmitEmpty();
    }

    /** Refuses all requests that arrive from now on; those in progress go on. */
    public void close() {
        mPhase = mPhase.in(State.CLOSED);
    }

    /**
     * Ends all requests that are in progress.
     *
     * @return a description of each that a server was working on
     */
    public List<Decision.RequestCut> end() {
        long nowNanos = mTicker.nowNanos();
        Phase ended = mPhase.in(State.ENDED);
        mPhase = ended;
        List<Decision.RequestCut> cut =
                mInProgress.stream()
                        .filter(request -> request.sendCount() > 0)
                        .map(
                                request ->
                                        request.describeCut(
                                                ended.startNanos(),
                                                longestNanos(request.route(), nowNanos),
                                                nowNanos))
                        .toList();
        mEnd.tryEmitEmpty();
        return cut;
    }

    boolean isStopping() {
        return mPhase.state() != State.SERVING;
    }

    /** Returns when the stop was requested, on the monotonic clock; only valid while stopping. */
    long startNanos() {
        return mPhase.startNanos();
    }

    /** Records how long a request took that was answered in full. */
    void recordAnswered(RequestContext context) {
        long nowNanos = mTicker.nowNanos();
        history(context.route()).record(nowNanos - context.firstSentNanos(), nowNanos);
    }

    private DurationHistory history(GatewayRoute route) {
        return mHistories.computeIfAbsent(route.name(), name -> new DurationHistory());
    }

    /**
     * Checks that this host takes requests at all.
     *
     * @throws RefusalException if it takes no more
     */
    void requireOpen() throws RefusalException {
        if (mPhase.state().compareTo(State.CLOSED) >= 0) {
            throw notRun();
        }
    }

    /**
     * Checks that a request ends in time if it is sent now. A request that may have run is sent
     * again until the requests are ended.
     *
     * @throws RefusalException if it may not be sent
     */
    void requireTime(RequestContext context) throws RefusalException {
        if (!context.attempts().mayHaveRun()) {
            requireTime(context.route(), context.deadlineNanos());
        } else if (mPhase.state() == State.ENDED) {
            throw notRun();
        }
    }

    /**
     * Checks that a request that has not been sent ends in time if it is sent now.
     *
     * @throws RefusalException if it may not be sent
     */
    void requireTime(GatewayRoute route, long deadlineNanos) throws RefusalException {
        Phase phase = mPhase;
        boolean late =
                phase.state() != State.SERVING
                        && mTicker.nowNanos() - latestSendNanos(route, deadlineNanos, phase) > 0;
        if (late || phase.state() == State.ENDED) {
            throw notRun();
        }
    }

    private long latestSendNanos(GatewayRoute route, long deadlineNanos, Phase phase) {
        return ShutdownPolicy.latestSendNanos(
                deadlineNanos,
                longestNanos(route, mTicker.nowNanos()),
                phase.startNanos(),
                phase.leaveNanos(),
                phase.endNanos());
    }

    /** Returns the longest duration lately, which a request in progress may have exceeded. */
    private OptionalLong longestNanos(GatewayRoute route, long nowNanos) {
        DurationHistory history = mHistories.get(route.name());
        OptionalLong longest =
                history == null ? OptionalLong.empty() : history.longestNanos(nowNanos);
        return longest.isEmpty()
                ? longest
                : LongStream.concat(longest.stream(), agesNanos(route, nowNanos)).max();
    }

    private LongStream agesNanos(GatewayRoute route, long nowNanos) {
        return mInProgress.stream()
                .filter(request -> request.sendCount() > 0)
                .filter(request -> request.route().name().equals(route.name()))
                .mapToLong(request -> nowNanos - request.firstSentNanos());
    }

    /** Records that a request is in progress, until {@link #recordEnd}. */
    void recordStart(RequestContext context) {
        mInProgress.add(context);
    }

    void recordEnd(RequestContext context) {
        mInProgress.remove(context);
        if (context.sendCount() > 0) {
            long nowNanos = mTicker.nowNanos();
            history(context.route())
                    .recordUnanswered(nowNanos - context.firstSentNanos(), nowNanos);
        }
    }

    /** Fails as soon as a request that waits to be sent would no longer end in time. */
    Mono<Void> waitedTooLong(RequestContext context) {
        return mBegin.asMono()
                .then(Mono.defer(() -> Mono.delay(untilLatestSend(context))))
                .flatMap(
                        waited ->
                                context.attempts().closeIfNotRun()
                                        ? Mono.error(notRun())
                                        : Mono.never());
    }

    private Duration untilLatestSend(RequestContext context) {
        long latestNanos = latestSendNanos(context.route(), context.deadlineNanos(), mPhase);
        return Duration.ofNanos(Math.max(0, latestNanos - mTicker.nowNanos()));
    }

    /**
     * Fails when the requests are ended, unless a complete response is being sent; states that a
     * request has not run if no attempt was made.
     */
    Mono<Void> endedBefore(RequestTrace trace) {
        return mEnd.asMono()
                .then(
                        Mono.defer(
                                () ->
                                        trace.claimForHost() || trace.isStream()
                                                ? Mono.error(refusalAtEnd(trace))
                                                : Mono.never()));
    }

    private static RefusalException refusalAtEnd(RequestTrace trace) {
        return trace.closeIfNotRun() ? notRun() : unanswered();
    }

    private static RefusalException unanswered() {
        return new RefusalException(
                RefusalReason.BACKEND_FAILED,
                RunState.UNKNOWN,
                0,
                Step.FORWARD,
                RemoteName.SELF,
                "this host had to stop before the backend server has answered");
    }

    private static RefusalException notRun() {
        return RefusalException.notRunRetry(
                RefusalReason.HOST_NOT_SERVING,
                RETRY_MILLIS,
                Step.ADMIT,
                "this host is shutting down; use another one");
    }
}
