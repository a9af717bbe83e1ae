package org.fuchsiaford.selection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;

/**
 * Model requests that wait for room at a decode engine.
 *
 * <p>Load pattern: bursts of a few seconds at twice what the engines hold. Those that can still be
 * on time go first, by rank and age, so that a burst does not make everybody late; the others are
 * served when no such request waits at any host. Nobody is overtaken by a smaller request, so the
 * largest are served no less often. Invariant: each request leaves the queue once. Thread-safe.
 */
public final class EngineQueue {
    /** Weight of the newest stream in the mean duration. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** A stream's duration until one has been seen; a few hundred steps of an engine. */
    private static final long FIRST_DURATION_NANOS = 3_000_000_000L;

    /** Time of a whole run for each expected token until some were seen: a step of an engine. */
    private static final double FIRST_NANOS_PER_TOKEN = 4_000_000;

    /** What callers expect of an answer's length is often too little. */
    private static final double RUN_MARGIN = 1.3;

    /**
     * Part of the time that a caller waits which the estimated wait may use up. While an overload
     * lasts, those that are not served soon are overtaken by newcomers that can still be on time,
     * so it is better for them to be told at once and to come back.
     */
    private static final double HOPEFUL_SHARE = 0.35;

    /** Time from a seat to the first event until some were seen: a usual prompt read twice over. */
    private static final long FIRST_START_NANOS = 300_000_000L;

    /** Mean deviations beyond the mean within which about nine in ten starts lie. */
    private static final int START_DEVIATIONS = 2;

    private final Map<RequestId, Waiting> mWaiting = new LinkedHashMap<>();
    private double mMeanDurationNanos = FIRST_DURATION_NANOS;
    private double mNanosPerToken = FIRST_NANOS_PER_TOKEN;
    private double mMeanStartNanos = FIRST_START_NANOS;
    private double mStartDeviationNanos;

    /**
     * A request that waits.
     *
     * @param request the request
     * @param tokens its size
     * @param priority its rank, zero first
     * @param arrivedNanos when it came
     * @param onTimeUntilNanos until when it must start to be on time
     * @param giveUpNanos when its caller gives up if nothing has come
     */
    public record Waiting(
            RequestId request,
            TokenCounts tokens,
            int priority,
            long arrivedNanos,
            long onTimeUntilNanos,
            long giveUpNanos) {}

    /** Learns from a whole run, from its seat to its end, how long runs take. */
    public synchronized void observeRun(TokenCounts tokens, long tookNanos) {
        mMeanDurationNanos += (tookNanos - mMeanDurationNanos) * NEWEST_WEIGHT;
        double perToken = (double) tookNanos / Math.max(1, tokens.expectedOutputTokens());
        mNanosPerToken += (perToken - mNanosPerToken) * NEWEST_WEIGHT;
    }

    /** Returns how long a run of this size may well take, in nanoseconds. */
    public synchronized long runNanos(TokenCounts tokens) {
        return (long) (mNanosPerToken * tokens.expectedOutputTokens() * RUN_MARGIN);
    }

    /** Learns how long it took from a seat to the first event. */
    public synchronized void observeStart(long tookNanos) {
        double deviation = Math.abs(tookNanos - mMeanStartNanos);
        mStartDeviationNanos += (deviation - mStartDeviationNanos) * NEWEST_WEIGHT;
        mMeanStartNanos += (tookNanos - mMeanStartNanos) * NEWEST_WEIGHT;
    }

    /** Returns the time in which the engines' memory changes hands once, in nanoseconds. */
    public synchronized long turnoverNanos() {
        return (long) mMeanDurationNanos;
    }

    /** Adds a request. */
    public synchronized void add(Waiting waiting) {
        mWaiting.put(waiting.request(), waiting);
    }

    /** Removes a request. Returns whether it still waited. */
    public synchronized boolean remove(RequestId request) {
        return mWaiting.remove(request) != null;
    }

    /** Returns whether nobody waits. */
    public synchronized boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Returns the tokens of those that wait and can still be on time, who go first. */
    public synchronized long onTimeTokens(long nowNanos) {
        return mWaiting.values().stream()
                .filter(waiting -> isOnTime(waiting, nowNanos))
                .mapToLong(waiting -> waiting.tokens().plannedKvTokens())
                .sum();
    }

    /**
     * Returns the request that is served next.
     *
     * @param othersOnTime whether requests that can still be on time wait at other hosts; a late
     *     one leaves the room to them
     */
    public synchronized Optional<Waiting> next(boolean othersOnTime, long nowNanos) {
        Comparator<Waiting> late = Comparator.comparing(w -> !isOnTime(w, nowNanos));
        return mWaiting.values().stream()
                .filter(waiting -> !othersOnTime || isOnTime(waiting, nowNanos))
                .min(
                        late.thenComparingInt(Waiting::priority)
                                .thenComparingLong(Waiting::arrivedNanos));
    }

    private static boolean isOnTime(Waiting waiting, long nowNanos) {
        return nowNanos - waiting.onTimeUntilNanos() <= 0;
    }

    /**
     * Returns those that cannot be served in time any more, even if nobody else came: those that
     * would start too late now, and late ones with too much ahead of them.
     *
     * @param othersOnTimeTokens tokens at other hosts that can be on time
     * @param capacityTokens the memory of all decode engines
     */
    public synchronized List<Waiting> hopeless(
            long othersOnTimeTokens, long capacityTokens, long nowNanos) {
        long aheadTokens = onTimeTokens(nowNanos) + othersOnTimeTokens;
        List<Waiting> hopeless = new ArrayList<>();
        for (Waiting waiting : mWaiting.values()) {
            boolean late = !isOnTime(waiting, nowNanos);
            aheadTokens += late ? waiting.tokens().plannedKvTokens() : 0;
            long waitNanos = late ? estimateWaitNanos(aheadTokens, capacityTokens) : 0;
            if (waitNanos >= patienceNanos(waiting.giveUpNanos(), nowNanos)) {
                hopeless.add(waiting);
            }
        }
        return hopeless;
    }

    /**
     * Estimates the wait behind work of the given size.
     *
     * @param aheadTokens tokens of all that waits at all hosts
     * @param capacityTokens the memory of all decode engines
     * @return nanoseconds
     */
    public synchronized long estimateWaitNanos(long aheadTokens, long capacityTokens) {
        return (long) (mMeanDurationNanos * aheadTokens / Math.max(1, capacityTokens));
    }

    /** Returns whether a request that has this wait before it can probably be served. */
    public synchronized boolean isHopeful(long waitNanos, long giveUpNanos, long nowNanos) {
        return waitNanos < patienceNanos(giveUpNanos, nowNanos) * HOPEFUL_SHARE;
    }

    private double patienceNanos(long giveUpNanos, long nowNanos) {
        double startNanos = mMeanStartNanos + START_DEVIATIONS * mStartDeviationNanos;
        return giveUpNanos - nowNanos - startNanos;
    }
}
