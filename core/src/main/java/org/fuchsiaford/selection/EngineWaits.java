package org.fuchsiaford.selection;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.fairness.Claim;
import org.fuchsiaford.fairness.Kind;

/**
 * Estimates how long requests for engines wait, and when those that are refused should come back.
 * Thread-safe.
 */
final class EngineWaits {
    /** Retry delay for callers if no engine is known, and minimum of all retry delays. */
    static final long MIN_RETRY_MILLIS = 500;

    /** Range over which the retries of requests refused together are spread. */
    private static final long RETRY_SPREAD_MILLIS = 1_000;

    /**
     * Latest start of a request that still meets its latency target, as a fraction of the target.
     */
    private static final double TARGET_START_FRACTION = 0.6;

    private final EngineQueues mQueues;
    private final AvailableEngines mEngines;
    private final ToLongFunction<ServiceId> mOthersOnTimeTokens;
    private final DoubleSupplier mRandom;

    /**
     * Creates estimates.
     *
     * @param othersOnTimeTokens the tokens queued at other schedulers that can still meet their
     *     target, by service
     * @param random a source of uniformly distributed random numbers from 0 to 1
     */
    EngineWaits(
            EngineQueues queues,
            AvailableEngines engines,
            ToLongFunction<ServiceId> othersOnTimeTokens,
            DoubleSupplier random) {
        mQueues = queues;
        mEngines = engines;
        mOthersOnTimeTokens = othersOnTimeTokens;
        mRandom = random;
    }

    /** Returns the queue for requests like this one. */
    EngineQueue queue(EngineRequest request) {
        return mQueues.of(request.service(), request.version());
    }

    /** Returns the tokens queued at other schedulers that can still meet their target. */
    long othersOnTimeTokens(ServiceId service) {
        return mOthersOnTimeTokens.applyAsLong(service);
    }

    /** Returns a request as its queue orders it. */
    EngineQueue.QueuedRequest queuedRequest(EngineRequest request) {
        long targetStartMillis = (long) (request.targetMillis() * TARGET_START_FRACTION);
        return new EngineQueue.QueuedRequest(
                request.request(),
                request.tokens(),
                claim(request),
                request.arrivedNanos(),
                request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(targetStartMillis),
                firstEventDeadlineNanos(request));
    }

    /** Returns on whose account a request asks for engines. */
    Claim claim(EngineRequest request) {
        RequestAttributes attributes = request.attributes();
        return new Claim(
                new Kind(Objects.requireNonNullElse(attributes.route(), ""), request.priority()),
                attributes.findWorkspace(),
                mEngines.weight(attributes.findWorkspace()),
                request.domain(),
                request.tokens().plannedKvTokens());
    }

    /**
     * Returns the latest time for the first event: afterwards the caller abandons the stream, or
     * the run would not end before the deadline of the request. How much of a stream is left that
     * has begun is not known.
     */
    long firstEventDeadlineNanos(EngineRequest request) {
        long latestRunStartNanos =
                request.version().isPresent()
                        ? request.deadlineNanos()
                        : request.deadlineNanos()
                                - queue(request).estimateRunNanos(request.tokens());
        return Math.min(latestRunStartNanos, request.eventDeadlineNanos());
    }

    /** Estimates the wait of a request that is queued now. */
    long estimateWaitNanos(EngineRequest request, long nowNanos) {
        ServiceId service = request.service();
        EngineQueue queue = queue(request);
        long aheadTokens =
                queue.tokensAhead(queuedRequest(request), nowNanos)
                        + request.tokens().plannedKvTokens()
                        + (request.version().isPresent() ? 0 : othersOnTimeTokens(service));
        return Math.max(
                queue.estimateWaitNanos(
                        aheadTokens, mEngines.kvCacheTokens(service, request.version(), nowNanos)),
                mEngines.waitNanos(service, request.version(), queue.size(), nowNanos));
    }

    /**
     * Returns the retry delay for callers if the engines have no free capacity: at least one
     * turnover of the KV cache, which takes the mean duration of a run, spread at random so that
     * the callers do not return all at once, but short enough to leave time for the run before the
     * deadline.
     */
    long busyRetryMillis(EngineRequest request, long waitNanos, long nowNanos) {
        long spreadMillis = (long) (mRandom.getAsDouble() * RETRY_SPREAD_MILLIS);
        long turnoverMillis = TimeUnit.NANOSECONDS.toMillis(queue(request).meanRunNanos());
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos);
        long remainingNanos = request.deadlineNanos() - nowNanos;
        long latestMillis =
                TimeUnit.NANOSECONDS.toMillis(
                        remainingNanos - queue(request).estimateRunNanos(request.tokens()));
        long preferredMillis = Math.max(waitMillis, turnoverMillis) + spreadMillis;
        return Math.max(MIN_RETRY_MILLIS, Math.min(preferredMillis, latestMillis));
    }
}
