package org.fuchsiaford.selection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fuchsiaford.fairness.Claim;
import org.fuchsiaford.fairness.FairAccounts;
import org.fuchsiaford.fairness.FairQueue;
import org.fuchsiaford.fairness.Kind;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;

/**
 * Queue of requests that wait for capacity: of model requests for KV cache of decode engines, whose
 * unit are tokens, or of plain requests for seats of servers ({@link SeatBook}).
 *
 * <p>Load pattern: bursts of a few seconds at twice the capacity of the engines. Requests that can
 * still meet their latency target go first, so that a burst does not delay every request beyond its
 * target; late requests are served once no request that can meet its target is queued at any host.
 * Among either, kinds of request take turns by {@link FairAccounts}, and within a kind those go
 * first whose workspace, failure domain or size is behind, and then those that must start first,
 * where a longer prompt must start earlier because it takes longer to read. Invariant: each request
 * leaves the queue exactly once. Thread-safe.
 */
public final class EngineQueue {
    /** Weight of the newest sample in the moving averages. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Mean run duration until one is observed: a few hundred decode steps. */
    private static final long INITIAL_RUN_NANOS = 3_000_000_000L;

    /** Run duration per expected token until one is observed: one decode step. */
    private static final double INITIAL_NANOS_PER_TOKEN = 4_000_000;

    /** Callers often underestimate the length of an answer. */
    private static final double RUN_ESTIMATE_MARGIN = 1.3;

    /**
     * Highest estimated wait at which a request is queued, as a fraction of the time left until it
     * must start to meet its first-event deadline. During an overload, requests that are not served
     * soon are overtaken by newer ones that can still meet their target, so an immediate rejection
     * and a retry serve their callers better.
     */
    private static final double MAX_WAIT_FRACTION = 0.35;

    /**
     * Time from the grant of capacity to the first event until one is observed: twice the prefill
     * time of a typical prompt.
     */
    private static final long INITIAL_FIRST_EVENT_NANOS = 300_000_000L;

    /** Reading time per prompt token until one is observed, as of a prefill engine. */
    private static final double INITIAL_NANOS_PER_PROMPT_TOKEN = 20_000;

    /** Mean deviations above the mean that cover about 90% of the times to the first event. */
    private static final int FIRST_EVENT_DEVIATIONS = 2;

    /** Time for which the ranks of queued requests are kept; bounds the work of an overload. */
    private static final long RANK_INTERVAL_NANOS = 20_000_000L;

    private static final Comparator<Entry> FAIR_ORDER =
            Comparator.comparingInt((Entry entry) -> entry.mQueued.claim().kind().priority())
                    .thenComparing(entry -> entry.mRank)
                    .thenComparingDouble(entry -> entry.mLatestStartNanos);

    private static final Comparator<Entry> ARRIVAL_ORDER =
            Comparator.comparingInt((Entry entry) -> entry.mQueued.claim().kind().priority())
                    .thenComparingLong(entry -> entry.mQueued.arrivedNanos());

    /** The only flow of a queue without shares. */
    private static final Kind ANY_KIND = new Kind("", 0);

    private final Map<RequestId, QueuedRequest> mQueued = new LinkedHashMap<>();
    private final FairAccounts mAccounts = new FairAccounts();
    private final boolean mIsFair;
    private final Comparator<Entry> mOrder;
    private final FairQueue<Kind, Entry> mOnTime;
    private final FairQueue<Kind, Entry> mLate;
    private long mRankedNanos;
    private double mMeanRunNanos;
    private double mNanosPerToken = INITIAL_NANOS_PER_TOKEN;
    private double mMeanFirstEventNanos;
    private double mFirstEventDeviationNanos;
    private double mNanosPerPromptToken = INITIAL_NANOS_PER_PROMPT_TOKEN;

    /** Creates the queue of a service of engines, with shares of kinds and workspaces. */
    public EngineQueue() {
        this(true);
    }

    /**
     * Creates the queue of a service of engines.
     *
     * @param isFair whether kinds and workspaces have shares; if not, requests go by priority and
     *     then by arrival
     */
    EngineQueue(boolean isFair) {
        this(isFair, INITIAL_RUN_NANOS, INITIAL_FIRST_EVENT_NANOS);
    }

    /**
     * Creates a queue.
     *
     * @param isFair whether kinds and workspaces have shares
     * @param runNanos the duration of a run until one is observed
     * @param firstEventNanos the time to the first event until one is observed
     */
    EngineQueue(boolean isFair, long runNanos, long firstEventNanos) {
        mIsFair = isFair;
        mOrder = isFair ? FAIR_ORDER : ARRIVAL_ORDER;
        mOnTime = new FairQueue<>(mOrder);
        mLate = new FairQueue<>(mOrder);
        mMeanRunNanos = runNanos;
        mMeanFirstEventNanos = firstEventNanos;
    }

    /**
     * A queued request. Times are on the monotonic clock.
     *
     * @param request the id of the request
     * @param tokens its token counts
     * @param claim on whose account it asks
     * @param arrivedNanos when it arrived
     * @param targetStartNanos latest start that still meets the latency target
     * @param firstEventDeadlineNanos latest first event that is still of use to the caller
     */
    public record QueuedRequest(
            RequestId request,
            TokenCounts tokens,
            Claim claim,
            long arrivedNanos,
            long targetStartNanos,
            long firstEventDeadlineNanos) {}

    /** A request in the order of its kind. */
    private static final class Entry implements FairQueue.Item<Kind> {
        private final QueuedRequest mQueued;
        private final Kind mFlow;
        private final double mWeight;
        private final double mLatestStartNanos;
        private FairAccounts.Rank mRank;

        Entry(QueuedRequest queued, Kind flow, double weight, double latestStartNanos) {
            mQueued = queued;
            mFlow = flow;
            mWeight = weight;
            mLatestStartNanos = latestStartNanos;
        }

        @Override
        public Kind flow() {
            return mFlow;
        }

        @Override
        public double weight() {
            return mWeight;
        }

        @Override
        public long tokens() {
            return mQueued.claim().tokens();
        }

        @Override
        public long cost() {
            return mQueued.tokens().plannedKvTokens();
        }

        boolean isWithinShare() {
            return mRank != FairAccounts.Rank.OVER_SHARE;
        }
    }

    /** Records that a request asks for engines, or asks again after a refusal. */
    public synchronized void recordAsked(Claim claim, long nowNanos) {
        mAccounts.recordAsked(claim, nowNanos);
    }

    /** Records that a request is granted engines. */
    public synchronized void recordServed(Claim claim, long nowNanos) {
        mAccounts.recordServed(claim, nowNanos);
    }

    /** Records the duration of a complete run, from the grant of capacity to the end. */
    public synchronized void observeRunDuration(TokenCounts tokens, long durationNanos) {
        mMeanRunNanos += (durationNanos - mMeanRunNanos) * SMOOTHING_FACTOR;
        double perToken = (double) durationNanos / Math.max(1, tokens.expectedOutputTokens());
        mNanosPerToken += (perToken - mNanosPerToken) * SMOOTHING_FACTOR;
    }

    /** Estimates the duration of a run in nanoseconds, with a margin for longer answers. */
    public synchronized long estimateRunNanos(TokenCounts tokens) {
        return (long) (mNanosPerToken * tokens.expectedOutputTokens() * RUN_ESTIMATE_MARGIN);
    }

    /** Records the time from the grant of capacity to the first event. */
    public synchronized void observeTimeToFirstEvent(long promptTokens, long durationNanos) {
        double perToken = (double) durationNanos / Math.max(1, promptTokens);
        mNanosPerPromptToken += (perToken - mNanosPerPromptToken) * SMOOTHING_FACTOR;
        double deviation = Math.abs(durationNanos - mMeanFirstEventNanos);
        mFirstEventDeviationNanos += (deviation - mFirstEventDeviationNanos) * SMOOTHING_FACTOR;
        mMeanFirstEventNanos += (durationNanos - mMeanFirstEventNanos) * SMOOTHING_FACTOR;
    }

    /**
     * Returns the mean run duration in nanoseconds, which is the time in which the engines' KV
     * cache is freed and reused once.
     */
    public synchronized long meanRunNanos() {
        return (long) mMeanRunNanos;
    }

    /** Returns the place of a request among those of its kind. */
    public synchronized FairAccounts.Rank rank(Claim claim) {
        return mIsFair ? mAccounts.rank(claim) : FairAccounts.Rank.EVEN;
    }

    /** Returns whether kinds and workspaces have shares. */
    boolean isFair() {
        return mIsFair;
    }

    /** Adds a request. */
    public synchronized void add(QueuedRequest queued) {
        mQueued.put(queued.request(), queued);
        mOnTime.add(entry(queued));
    }

    private Entry entry(QueuedRequest queued) {
        double readNanos = mNanosPerPromptToken * queued.tokens().promptTokens();
        Entry entry =
                new Entry(
                        queued,
                        mIsFair ? queued.claim().kind() : ANY_KIND,
                        mAccounts.weight(queued.claim().kind()),
                        queued.targetStartNanos() - readNanos);
        entry.mRank = rank(queued.claim());
        return entry;
    }

    /** Removes a request that is not served. Returns whether it was still queued. */
    public synchronized boolean remove(RequestId request) {
        QueuedRequest queued = mQueued.remove(request);
        find(mOnTime, queued).ifPresent(mOnTime::remove);
        find(mLate, queued).ifPresent(mLate::remove);
        return queued != null;
    }

    /** Removes a request that is granted engines and charges it to its kind. */
    public synchronized void serve(RequestId request) {
        QueuedRequest queued = mQueued.remove(request);
        find(mOnTime, queued).ifPresent(mOnTime::serve);
        find(mLate, queued).ifPresent(mLate::serve);
    }

    private static Optional<Entry> find(FairQueue<Kind, Entry> queue, QueuedRequest queued) {
        return queue.all().stream().filter(entry -> entry.mQueued == queued).findFirst();
    }

    /** Returns the number of queued requests. */
    public synchronized int size() {
        return mQueued.size();
    }

    /** Returns whether no request is queued. */
    public synchronized boolean isEmpty() {
        return mQueued.isEmpty();
    }

    /** Returns the planned tokens of queued requests that can still meet their target. */
    public synchronized long onTimeTokens(long nowNanos) {
        return mQueued.values().stream()
                .filter(queued -> canMeetTarget(queued, nowNanos))
                .mapToLong(queued -> queued.tokens().plannedKvTokens())
                .sum();
    }

    /**
     * Returns the planned tokens of the requests that would be served before a new one or, if it is
     * queued, before this one.
     */
    public synchronized long tokensAhead(QueuedRequest queued, long nowNanos) {
        if (!mIsFair) {
            return onTimeTokens(nowNanos);
        }
        postponeLate(nowNanos);
        Entry entry = entry(queued);
        return entry.isWithinShare()
                ? mOnTime.costAhead(entry, other -> mOrder.compare(other, entry) < 0)
                : mOnTime.totalCost();
    }

    private void postponeLate(long nowNanos) {
        mOnTime.all().stream()
                .filter(entry -> !canMeetTarget(entry.mQueued, nowNanos))
                .forEach(
                        entry -> {
                            mOnTime.remove(entry);
                            mLate.add(entry);
                        });
    }

    /**
     * Returns the request to serve next, without removing it.
     *
     * @param othersOnTime whether requests that can still meet their target are queued at other
     *     hosts; if so, no late request is returned, so that the capacity is left to them
     */
    public synchronized Optional<QueuedRequest> next(boolean othersOnTime, long nowNanos) {
        return next(Set.of(), othersOnTime, nowNanos);
    }

    /**
     * Returns the request to serve next, without removing it.
     *
     * @param blocked the requests that have to wait; if one of them can meet its target, no late
     *     request is returned
     */
    synchronized Optional<QueuedRequest> next(
            Set<RequestId> blocked, boolean othersOnTime, long nowNanos) {
        postponeLate(nowNanos);
        updateRanks(nowNanos);
        FairQueue<Kind, Entry> queue = mOnTime.isEmpty() && !othersOnTime ? mLate : mOnTime;
        Predicate<Entry> isFree = entry -> !blocked.contains(entry.mQueued.request());
        return Stream.of(isFree.and(Entry::isWithinShare), isFree)
                .flatMap(isAccepted -> queue.heads(isAccepted).stream())
                .findFirst()
                .map(entry -> entry.mQueued);
    }

    private void updateRanks(long nowNanos) {
        if (nowNanos - mRankedNanos >= RANK_INTERVAL_NANOS) {
            mRankedNanos = nowNanos;
            Stream.concat(mOnTime.all().stream(), mLate.all().stream())
                    .forEach(entry -> entry.mRank = rank(entry.mQueued.claim()));
        }
    }

    private static boolean canMeetTarget(QueuedRequest queued, long nowNanos) {
        return nowNanos - queued.targetStartNanos() <= 0;
    }

    /**
     * Returns the requests that can no longer be served in time even if no other request arrives:
     * those whose first event would come too late if they started now, and late ones with too much
     * work ahead of them.
     *
     * @param othersOnTimeTokens tokens queued at other hosts that can still meet their target
     * @param capacityTokens KV cache of all decode engines, in tokens
     */
    public synchronized List<QueuedRequest> unservable(
            long othersOnTimeTokens, long capacityTokens, long nowNanos) {
        long aheadTokens = onTimeTokens(nowNanos) + othersOnTimeTokens;
        List<QueuedRequest> unservable = new ArrayList<>();
        for (QueuedRequest queued : mQueued.values()) {
            boolean late = !canMeetTarget(queued, nowNanos);
            aheadTokens += late ? queued.tokens().plannedKvTokens() : 0;
            long waitNanos = late ? estimateWaitNanos(aheadTokens, capacityTokens) : 0;
            if (waitNanos >= untilLatestStartNanos(queued.firstEventDeadlineNanos(), nowNanos)) {
                unservable.add(queued);
            }
        }
        return unservable;
    }

    /**
     * Estimates the wait behind the given amount of work.
     *
     * @param aheadTokens tokens queued ahead, at all hosts
     * @param capacityTokens KV cache of all decode engines, in tokens
     * @return the wait in nanoseconds
     */
    public synchronized long estimateWaitNanos(long aheadTokens, long capacityTokens) {
        return (long) (mMeanRunNanos * aheadTokens / Math.max(1, capacityTokens));
    }

    /** Returns whether a request with this estimated wait is likely to be served in time. */
    public synchronized boolean shouldQueue(
            long waitNanos, long firstEventDeadlineNanos, long nowNanos) {
        return waitNanos
                < untilLatestStartNanos(firstEventDeadlineNanos, nowNanos) * MAX_WAIT_FRACTION;
    }

    /** Returns the time left until a run must start for its first event to meet the deadline. */
    private double untilLatestStartNanos(long firstEventDeadlineNanos, long nowNanos) {
        return firstEventDeadlineNanos - nowNanos - firstEventNanos();
    }

    /** Returns the time to the first event that most runs do not exceed. */
    synchronized long firstEventNanos() {
        return (long) (mMeanFirstEventNanos + FIRST_EVENT_DEVIATIONS * mFirstEventDeviationNanos);
    }
}
