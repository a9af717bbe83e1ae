package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerBackoff;
import org.fuchsiaford.request.SseEventScanner;
import org.fuchsiaford.selection.EnginePool;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Limits how long an engine may send no complete event of a resumable stream.
 *
 * <p>Invariant: a silent engine is given up only while the stream could go on at another one.
 * Thread-safe.
 */
final class StreamSilence {
    /**
     * Timeout for the first event, as a multiple of the latency target but at least {@link
     * #EVENT_TIMEOUT}.
     */
    private static final double FIRST_EVENT_TIMEOUT_FACTOR = 2.5;

    /**
     * Timeout between events. It is shorter than the silence after which callers abandon a stream,
     * which is at least two seconds, but leaves an engine time to preempt a request.
     */
    private static final Duration EVENT_TIMEOUT = Duration.ofMillis(1_800);

    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);

    private final EnginePool mPool;
    private final ServerBackoff mBackoff;
    private final AttemptRecorder mAttempts;
    private final Ticker mTicker;

    StreamSilence(EnginePool pool, ServerBackoff backoff, AttemptRecorder attempts, Ticker ticker) {
        mPool = pool;
        mBackoff = backoff;
        mAttempts = attempts;
        mTicker = ticker;
    }

    /** Adds timeouts to a resumable stream; other streams have none. */
    Flux<ResponsePart> limit(RequestContext context, LiveServer server, Flux<ResponsePart> parts) {
        if (!context.route().kind().isRepeatable()) {
            return parts;
        }
        long firstEventMillis =
                (long) (context.route().targetLatencyMillis() * FIRST_EVENT_TIMEOUT_FACTOR);
        Duration firstEventTimeout =
                Duration.ofMillis(Math.max(firstEventMillis, EVENT_TIMEOUT.toMillis()));
        return Flux.defer(
                        () -> {
                            EventTimer events = new EventTimer();
                            return parts.timeout(
                                    silence(context, server, firstEventTimeout),
                                    part -> silence(context, server, events.timeout(part)));
                        })
                .onErrorMap(
                        TimeoutException.class,
                        e ->
                                new BackendCallException(
                                        Step.DECODE,
                                        new RemoteName(server.id().value()),
                                        AttemptOutcome.UNKNOWN,
                                        "no event within the timeout"));
    }

    /** Measures the time since the last complete event; bytes inside an event do not count. */
    private final class EventTimer {
        private final SseEventScanner mScanner = new SseEventScanner();
        private long mLastEventNanos;

        Duration timeout(ResponsePart part) {
            long nowNanos = mTicker.nowNanos();
            if (!(part instanceof ResponsePart.Body body) || mScanner.scan(body.bytes()) > 0) {
                mLastEventNanos = nowNanos;
            }
            Duration left = EVENT_TIMEOUT.minusNanos(nowNanos - mLastEventNanos);
            return left.compareTo(MIN_TIMEOUT) > 0 ? left : MIN_TIMEOUT;
        }
    }

    private Mono<Long> silence(RequestContext context, LiveServer server, Duration timeout) {
        return Flux.interval(timeout, EVENT_TIMEOUT)
                .filter(i -> isReplaceable(context, server))
                .next();
    }

    private boolean isReplaceable(RequestContext context, LiveServer server) {
        Set<BackendServerId> tried = context.attempts().triedServers();
        long nowNanos = mTicker.nowNanos();
        return context.streamProgress().isContinuable()
                && mAttempts.allowsResumption(context)
                && mBackoff
                        .acceptingNow(mPool.usable(context.service(), nowNanos), nowNanos)
                        .stream()
                        .filter(engine -> engine.hasStage(EngineStage.DECODE))
                        .filter(engine -> !tried.contains(engine.id()))
                        .filter(
                                engine ->
                                        mPool.regions()
                                                .admits(
                                                        engine.failureDomain(),
                                                        context.allowedRegions()))
                        .filter(engine -> !engine.id().equals(server.id()))
                        .anyMatch(engine -> isOfVersion(context, engine));
    }

    private static boolean isOfVersion(RequestContext context, LiveServer engine) {
        return context.version().filter(v -> !v.equals(engine.version())).isEmpty();
    }
}
