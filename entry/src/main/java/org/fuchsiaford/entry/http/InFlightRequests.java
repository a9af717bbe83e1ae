package org.fuchsiaford.entry.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import reactor.core.publisher.Mono;

/**
 * Counts the requests in flight, and refuses new ones once the host is leaving.
 *
 * <p>Invariant: every request is either counted or refused, even one that arrives while {@link
 * #drain} is called. Thread-safe.
 */
public final class InFlightRequests {
    private static final long RETRY_AFTER_MILLIS = 100;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final AtomicInteger mCount = new AtomicInteger();
    private volatile boolean mLeaving;

    /**
     * Counts a new request.
     *
     * @throws RefusalException if the host is leaving; the request has not run
     */
    void begin() throws RefusalException {
        mCount.incrementAndGet();
        if (mLeaving) {
            mCount.decrementAndGet();
            throw RefusalException.notRunRetry(
                    RefusalReason.HOST_NOT_SERVING,
                    RETRY_AFTER_MILLIS,
                    Step.ADMIT,
                    "this host is shutting down; use another one");
        }
    }

    void end() {
        mCount.decrementAndGet();
    }

    /** Returns the number of requests in flight. */
    public int count() {
        return mCount.get();
    }

    /** Returns whether the host is leaving and refuses new requests. */
    public boolean isLeaving() {
        return mLeaving;
    }

    /** Refuses new requests from now on; completes when no request is in flight. */
    public Mono<Void> drain() {
        mLeaving = true;
        return Mono.delay(POLL_INTERVAL).repeat(() -> mCount.get() > 0).then();
    }
}
