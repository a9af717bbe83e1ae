package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.SeatAnswer;
import org.fuchsiaford.selection.SeatBook;
import org.fuchsiaford.selection.SeatRequest;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Runs the {@link SeatBook} of this host: delivers its answers to the waiting requests of all
 * hosts, and applies what they report.
 *
 * <p>Invariant: a seat granted to a request that is no longer waited for returns when its host
 * reports or does not report it. Thread-safe.
 */
public final class SeatDispatcher {
    /** Interval at which waiting requests are checked for seats and for their deadlines. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    /** Time after which a host is told that its request still waits. */
    private static final Duration MAX_WAIT = Duration.ofMillis(250);

    private final SeatBook mBook;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final Map<RequestId, Sinks.One<SeatAnswer>> mWaiting = new ConcurrentHashMap<>();
    private final Disposable.Swap mPoll = Disposables.swap();

    /** Creates a dispatcher. */
    SeatDispatcher(SeatBook book, DecisionLog log, Ticker ticker) {
        mBook = book;
        mLog = log;
        mTicker = ticker;
    }

    /** Submits a request; emits {@link SeatAnswer.Waiting} if it is not decided soon. */
    public Mono<SeatAnswer> submit(SeatRequest request) {
        return Mono.defer(
                () -> {
                    Sinks.One<SeatAnswer> sink = Sinks.one();
                    SeatAnswer answer;
                    synchronized (this) {
                        answer = mBook.submit(request, mTicker.nowNanos());
                        log(answer);
                        register(request.request(), answer, sink);
                    }
                    return await(request.request(), answer, sink);
                });
    }

    /** Waits on for an earlier request of a host; empty if the request is not known. */
    public Mono<SeatAnswer> poll(HostId host, RequestId request) {
        return Mono.defer(
                () -> {
                    Sinks.One<SeatAnswer> sink = Sinks.one();
                    Optional<SeatAnswer> answer;
                    synchronized (this) {
                        answer = mBook.poll(host, request, mTicker.nowNanos());
                        answer.ifPresent(a -> register(request, a, sink));
                    }
                    return answer.isEmpty() ? Mono.empty() : await(request, answer.get(), sink);
                });
    }

    /** Registers the sink in the same step, so that no answer is missed. */
    private void register(RequestId request, SeatAnswer answer, Sinks.One<SeatAnswer> sink) {
        if (answer instanceof SeatAnswer.Waiting) {
            mWaiting.put(request, sink);
            if (mPoll.get() == null || mPoll.get().isDisposed()) {
                mPoll.update(Flux.interval(POLL_INTERVAL).subscribe(tick -> dispatch()));
            }
        }
    }

    private Mono<SeatAnswer> await(
            RequestId request, SeatAnswer answer, Sinks.One<SeatAnswer> sink) {
        return answer instanceof SeatAnswer.Waiting
                ? sink.asMono()
                        .timeout(MAX_WAIT, Mono.just(answer))
                        .doFinally(signal -> mWaiting.remove(request, sink))
                : Mono.just(answer);
    }

    private void dispatch() {
        List<SeatAnswer> answers;
        synchronized (this) {
            answers = mBook.dispatch(mTicker.nowNanos());
            if (mBook.isIdle()) {
                mPoll.update(Disposables.disposed());
            }
        }
        answers.forEach(this::deliver);
    }

    private void deliver(SeatAnswer answer) {
        if (answer instanceof SeatAnswer.Refused) {
            log(answer);
        }
        Sinks.One<SeatAnswer> sink = mWaiting.remove(answer.request().request());
        if (sink != null) {
            sink.tryEmitValue(answer);
        }
    }

    private void log(SeatAnswer answer) {
        SeatRequest request = answer.request();
        if (answer instanceof SeatAnswer.Waiting waiting) {
            mLog.write(
                    new Decision.SeatAwaited(
                            request.request().value(),
                            request.service().value(),
                            "waiting",
                            waiting.waitMillis()));
        } else if (answer instanceof SeatAnswer.Refused refused) {
            mLog.write(
                    new Decision.SeatAwaited(
                            request.request().value(),
                            request.service().value(),
                            refused.reason(),
                            refused.retryMillis()));
        }
    }

    /** Applies what a host reports about its requests. */
    public void apply(List<EngineEvent> events) {
        events.stream().filter(event -> event.request() != null).forEach(this::apply);
        if (!mBook.isIdle()) {
            dispatch();
        }
    }

    private void apply(EngineEvent event) {
        switch (event.kind()) {
            case COMPLETED -> mBook.complete(event.request(), event.durationNanos());
            case REJECTED -> mBook.reject(event.request());
            case RELEASED, CANCELLED -> {
                mWaiting.remove(event.request());
                mBook.cancel(event.request());
            }
            default -> {
                // The other kinds concern engines only.
            }
        }
    }

    /** Compares the seats of another host with those that it reports. */
    void reconcile(HostId host, List<RequestId> held) {
        mBook.reconcile(host, held, mTicker.nowNanos());
    }

    /** Frees everything that was granted to a host which no longer reports. */
    void removeHost(HostId host) {
        mBook.removeHost(host);
    }
}
