package org.fuchsiaford.entry.gateway.forward;

import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaford.attempt.AttemptOutcome;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Two chains of attempts of one request, each with its retries, of which the second may never
 * start. The count of those in progress includes the second one from its start.
 *
 * <p>Invariant: an attempt that fails does not end the other one; if no response is good, that of a
 * server is preferred to an error. Thread-safe.
 */
final class AttemptRace {
    private final AtomicInteger mInProgress = new AtomicInteger(1);

    /** The end of an attempt: a response, or an error if that is null. */
    private record End(CompleteResponse response, Throwable error, boolean second) {
        boolean isAnswer() {
            return response != null && response.head().outcome() == AttemptOutcome.ANSWERED;
        }

        /** Returns the end that counts if this one came first. */
        End or(End later) {
            return later.isAnswer() || response == null ? later : this;
        }

        Mono<CompleteResponse> toMono() {
            return response == null ? Mono.error(error) : Mono.just(response);
        }
    }

    boolean isInProgress() {
        return mInProgress.get() > 0;
    }

    /** Records the start of the second attempt. Returns false if the first one has ended. */
    boolean startSecond() {
        return mInProgress.updateAndGet(count -> count == 0 ? 0 : count + 1) > 0;
    }

    /**
     * Returns the response of the attempt that is answered first.
     *
     * @param second completes empty if the second attempt does not start
     * @param onOvertaken called if the second attempt is answered while the first is in progress
     */
    Mono<CompleteResponse> run(
            Mono<CompleteResponse> first, Mono<CompleteResponse> second, Runnable onOvertaken) {
        return Flux.merge(end(first, false), end(second, true))
                .doOnNext(end -> mInProgress.decrementAndGet())
                .doOnNext(end -> reportOvertaken(end, onOvertaken))
                .takeUntil(end -> !isInProgress() || end.isAnswer())
                .reduce(End::or)
                .flatMap(End::toMono);
    }

    private void reportOvertaken(End end, Runnable onOvertaken) {
        if (end.second() && end.isAnswer() && isInProgress()) {
            onOvertaken.run();
        }
    }

    private static Mono<End> end(Mono<CompleteResponse> attempt, boolean second) {
        return attempt.map(response -> new End(response, null, second))
                .onErrorResume(e -> Mono.just(new End(null, e, second)));
    }
}
