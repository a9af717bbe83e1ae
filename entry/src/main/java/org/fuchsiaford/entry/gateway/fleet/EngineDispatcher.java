package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.selection.EngineAnswer;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.EngineRequest;
import org.fuchsiaford.selection.EngineScheduler;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Runs the {@link EngineScheduler} of this host: delivers its answers to waiting requests of this
 * and of other hosts, and applies what they report.
 *
 * <p>Invariant: a grant to a request of this host that is no longer waited for is released at once;
 * one to another host is released when that host does not report it. Thread-safe.
 */
public final class EngineDispatcher {
    /** Interval at which queued requests are checked for capacity and for their deadlines. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /**
     * Time after which another host is told that its request still waits, so that it soon notices a
     * scheduler that has stopped responding.
     */
    private static final Duration MAX_REMOTE_WAIT = Duration.ofMillis(250);

    private final EngineScheduler mScheduler;
    private final PromptQuarantine mQuarantine;
    private final ServerHealth mHealth;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final Map<RequestId, Sinks.One<EngineAnswer>> mWaiting = new ConcurrentHashMap<>();
    private final Disposable.Swap mPoll = Disposables.swap();

    /** Creates a dispatcher. */
    public EngineDispatcher(
            EngineScheduler scheduler,
            PromptQuarantine quarantine,
            ServerHealth health,
            DecisionLog log,
            Ticker ticker) {
        mScheduler = scheduler;
        mQuarantine = quarantine;
        mHealth = health;
        mLog = log;
        mTicker = ticker;
    }

    /**
     * Submits a request of this host; emits {@link EngineAnswer.Granted} or {@link
     * EngineAnswer.Refused}. Cancelling removes it from the queue.
     */
    public Mono<EngineAnswer> submit(EngineRequest request) {
        return Mono.defer(
                () -> {
                    Sinks.One<EngineAnswer> sink = Sinks.one();
                    EngineAnswer answer = submit(request, sink);
                    return answer instanceof EngineAnswer.Waiting
                            ? sink.asMono().doOnCancel(() -> cancel(request.request()))
                            : Mono.just(answer);
                });
    }

    /**
     * Submits a request of another host; emits {@link EngineAnswer.Waiting} if it is not decided
     * soon.
     */
    Mono<EngineAnswer> submitRemote(EngineRequest request) {
        return Mono.defer(
                () -> {
                    Sinks.One<EngineAnswer> sink = Sinks.one();
                    EngineAnswer answer = submit(request, sink);
                    return answer instanceof EngineAnswer.Waiting
                            ? await(request.request(), sink, answer)
                            : Mono.just(answer);
                });
    }

    /** Waits on for an earlier request of another host; empty if the request is not known. */
    Mono<EngineAnswer> pollRemote(HostId host, RequestId request) {
        return Mono.defer(
                () -> {
                    Sinks.One<EngineAnswer> sink = Sinks.one();
                    Optional<EngineAnswer> answer;
                    synchronized (this) {
                        answer = mScheduler.poll(host, request, mTicker.nowNanos());
                        if (answer.isPresent() && answer.get() instanceof EngineAnswer.Waiting) {
                            mWaiting.put(request, sink);
                        }
                    }
                    return answer.isPresent() && answer.get() instanceof EngineAnswer.Waiting
                            ? await(request, sink, answer.get())
                            : Mono.justOrEmpty(answer);
                });
    }

    private Mono<EngineAnswer> await(
            RequestId request, Sinks.One<EngineAnswer> sink, EngineAnswer waiting) {
        return sink.asMono()
                .timeout(MAX_REMOTE_WAIT, Mono.just(waiting))
                .doFinally(signal -> mWaiting.remove(request, sink));
    }

    /** Registers the sink in the same step, so that no answer is missed. */
    private synchronized EngineAnswer submit(EngineRequest request, Sinks.One<EngineAnswer> sink) {
        EngineAnswer answer = mScheduler.submit(request, mTicker.nowNanos());
        if (answer instanceof EngineAnswer.Waiting waiting) {
            mLog.write(
                    new Decision.Queued(
                            request.request().value(),
                            waiting.queuedTokens(),
                            waiting.rank().name().toLowerCase(Locale.ROOT),
                            waiting.waitMillis()));
            mWaiting.put(request.request(), sink);
            mPoll.update(Flux.interval(POLL_INTERVAL).subscribe(tick -> dispatch()));
        }
        return answer;
    }

    /** Removes a cancelled request; capacity granted to it meanwhile is granted to the next one. */
    private void cancel(RequestId request) {
        mWaiting.remove(request);
        if (!mScheduler.cancel(request)) {
            mScheduler.release(request);
        }
        dispatch();
    }

    /** Grants free capacity to queued requests and refuses those that cannot be served in time. */
    public void dispatch() {
        List<EngineAnswer> answers;
        synchronized (this) {
            answers = mScheduler.dispatch(mTicker.nowNanos());
            if (mScheduler.isIdle()) {
                mPoll.update(Disposables.disposed());
            }
        }
        answers.forEach(this::deliver);
    }

    private void deliver(EngineAnswer answer) {
        if (answer instanceof EngineAnswer.Granted granted) {
            deliver(granted.request().request(), granted);
        } else if (answer instanceof EngineAnswer.Refused refused) {
            deliver(refused.request().request(), refused);
        }
    }

    private void deliver(RequestId request, EngineAnswer answer) {
        Sinks.One<EngineAnswer> sink = mWaiting.remove(request);
        if (sink != null) {
            sink.tryEmitValue(answer);
        }
    }

    /** Applies what a host reports about its requests and about the servers it has called. */
    public void apply(List<EngineEvent> events) {
        events.forEach(this::apply);
        dispatch();
        logQuarantine();
    }

    /** Logs what has changed in the quarantine of prompts. */
    void logQuarantine() {
        mQuarantine
                .drainChanges()
                .forEach(
                        change ->
                                mLog.write(
                                        new Decision.PromptQuarantined(
                                                change.kind().name().toLowerCase(Locale.ROOT),
                                                List.copyOf(change.parts()),
                                                change.strikes(),
                                                change.millis())));
    }

    private void apply(EngineEvent event) {
        RequestId request = event.request();
        switch (event.kind()) {
            case PREFILLED -> mScheduler.recordPrefill(request, event.durationNanos());
            case PREFILL_NOT_NEEDED -> mScheduler.recordPrefillNotNeeded(request);
            case PREFILL_FAILED -> mScheduler.recordPrefillFailure(request);
            case FIRST_EVENT ->
                    mScheduler.recordFirstEvent(request, event.durationNanos(), mTicker.nowNanos());
            case COMPLETED -> {
                mScheduler.recordPace(request, event.pace(), mTicker.nowNanos());
                mScheduler.complete(request, event.durationNanos(), mTicker.nowNanos());
            }
            case BROKEN_OFF -> mScheduler.breakOff(request, mTicker.nowNanos());
            case RELEASED -> mScheduler.release(request);
            case CANCELLED -> cancel(request);
            case REJECTED -> mScheduler.release(request);
            case CALLED ->
                    mHealth.recordOutcome(
                            event.server(),
                            event.outcome(),
                            event.durationNanos(),
                            mTicker.nowNanos());
        }
    }

    /** Compares the grants to another host with those that it reports. */
    void reconcile(HostId host, List<RequestId> held) {
        mScheduler.reconcile(host, held, mTicker.nowNanos());
    }

    /** Releases everything that was granted to a host which no longer reports. */
    void removeHost(HostId host) {
        mScheduler.removeHost(host);
        dispatch();
    }
}
