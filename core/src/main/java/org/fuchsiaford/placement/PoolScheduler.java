package org.fuchsiaford.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.fairness.FairQueue;
import org.fuchsiaford.fairness.ShareMeter;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The placement policy of a pool. Decode capacity is reserved before prefill starts, so that the
 * result of a prefill always has a decode engine to go to. Requests are queued here rather than on
 * engines, in fair order across workspaces. A request that can no longer meet its first-token
 * target moves to a queue of late requests, which is served only from spare capacity, so that it
 * does not delay other requests past their targets. A request that would also exceed the maximum
 * wait in that queue is refused at once, with a retry delay that covers the work ahead of it.
 *
 * <p>Invariants: an engine is never assigned more requests or KV cache blocks than it has capacity
 * for; a request gets exactly one decision. Not thread-safe.
 */
public final class PoolScheduler implements PlacementPolicy {
    /** The backlog up to which a prefill engine gets another request, to hide messaging delays. */
    private static final long MAX_PIPELINED_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /**
     * The maximum time that a request waits for its decision, in addition to its time to first
     * token on idle engines.
     */
    public static final Duration MAX_DECISION_WAIT = Duration.ofMillis(2_500);

    /** How long a request that misses its target may wait for spare capacity. */
    private static final long MAX_LATE_WAIT_NANOS = MAX_DECISION_WAIT.toNanos();

    /** Interval of the deadline checks on all queued requests; other calls only place requests. */
    private static final long DEADLINE_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

    /** A placement without events for this long is released. */
    private static final long PLACEMENT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    /** Fraction of batch slots that must be free before a late request is placed. */
    private static final double LATE_FREE_SLOT_FRACTION = 0.05;

    /** Fraction of batch slots that must be free before a workspace may exceed its share. */
    private static final double OVER_SHARE_FREE_SLOT_FRACTION = 0.1;

    /** Weight of a finished request in the moving average of the output fraction. */
    private static final double OUTPUT_SMOOTHING_FACTOR = 0.05;

    /** Time in which the recent usage of a workspace falls to 1/e. */
    private static final long USAGE_DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double SHARE_TOLERANCE = 1.1;

    private static final Comparator<QueuedPlacementRequest> EARLIEST_DEADLINE_FIRST =
            Comparator.comparingLong(QueuedPlacementRequest::deadlineNanos);

    private final PoolEngines mEngines;
    private final ShareMeter<WorkspaceId> mShares =
            new ShareMeter<>(USAGE_DECAY_NANOS, SHARE_TOLERANCE);
    private final FairQueue<WorkspaceId, QueuedPlacementRequest> mOnTimeQueue =
            new FairQueue<>(EARLIEST_DEADLINE_FIRST);
    private final FairQueue<WorkspaceId, QueuedPlacementRequest> mLateQueue =
            new FairQueue<>(EARLIEST_DEADLINE_FIRST);
    private final Map<RequestId, Placement> mPlacements = new HashMap<>();
    private final List<PlacementDecision> mDecisions = new ArrayList<>();

    /** Moving average of generated output tokens as a fraction of the maximum. */
    private double mOutputFraction = 1;

    private long mNextDeadlineCheckNanos;

    /** Creates a policy for the engines of a pool. */
    public PoolScheduler(ModelSpec model, List<EngineSpec> engines) {
        mEngines = new PoolEngines(model, engines);
        mNextDeadlineCheckNanos = Long.MIN_VALUE / 2;
    }

    @Override
    public void reconfigure(ModelSpec model, List<EngineSpec> engines) {
        mEngines.configure(model, engines);
    }

    @Override
    public void submit(PlacementRequest request, long nowNanos) {
        long targetNanos = TimeUnit.MILLISECONDS.toNanos(request.firstTokenMillis());
        long expectedOutputTokens = (long) (request.maxOutputTokens() * mOutputFraction);
        long costNanos = mEngines.costNanos(request, expectedOutputTokens);
        QueuedPlacementRequest queued =
                new QueuedPlacementRequest(
                        request,
                        nowNanos + targetNanos,
                        costNanos,
                        request.promptTokens() + expectedOutputTokens);
        long aheadNanos = mOnTimeQueue.costAhead(queued);
        if (lateNanos(queued, nowNanos + aheadNanos, nowNanos) <= 0) {
            mOnTimeQueue.add(queued);
        } else {
            postpone(queued, nowNanos);
        }
    }

    /** Moves a request that misses its target to the queue of late requests, or refuses it. */
    private void postpone(QueuedPlacementRequest queued, long nowNanos) {
        PlacementRequest request = queued.request();
        long idleNanos = mEngines.idleFirstTokenNanos(request);
        QueuedPlacementRequest late =
                queued.withDeadline(nowNanos + MAX_LATE_WAIT_NANOS + idleNanos);
        long aheadNanos = mOnTimeQueue.totalCost() + mLateQueue.costAhead(late);
        long lateNanos = lateNanos(late, nowNanos + aheadNanos, nowNanos);
        if (lateNanos > 0) {
            refuse(request.request(), lateNanos);
        } else {
            mLateQueue.add(late);
        }
    }

    @Override
    public void withdraw(RequestId request, long nowNanos) {
        remove(mOnTimeQueue, request);
        remove(mLateQueue, request);
        release(request, nowNanos);
    }

    private static void remove(
            FairQueue<WorkspaceId, QueuedPlacementRequest> queue, RequestId request) {
        queue.all().stream()
                .filter(queued -> queued.request().request().equals(request))
                .findFirst()
                .ifPresent(queue::remove);
    }

    @Override
    public void recordEvent(PlacementEvent event, long nowNanos) {
        Placement placement = mPlacements.get(event.request());
        if (placement == null) {
            return;
        }
        placement.renewUntil(nowNanos + PLACEMENT_EXPIRY_NANOS);
        switch (event.kind()) {
            case PREFILL_FINISHED -> {
                placement.prefill().remove(event.request(), nowNanos);
                placement.prefill().health().recordSuccess();
            }
            case FIRST_TOKEN -> {
                placement.decode().finishTransfer(event.request());
                placement.decode().health().recordSuccess();
            }
            case FINISHED -> learnOutputFraction(placement.request(), event.outputTokens());
            case ENGINE_FAILED -> mEngines.recordFailure(event.engine(), nowNanos);
            case ENGINE_REFUSED -> mEngines.recordRefusal(event.engine(), nowNanos);
            case RUNNING, CANCELLED -> {}
        }
        if (event.isFinal()) {
            release(event.request(), nowNanos);
        }
    }

    @Override
    public void updateLoad(EngineLoad load, long nowNanos) {
        mEngines.updateLoad(load);
    }

    @Override
    public List<PlacementDecision> decide(long nowNanos) {
        if (nowNanos - mNextDeadlineCheckNanos >= 0) {
            mNextDeadlineCheckNanos = nowNanos + DEADLINE_CHECK_INTERVAL_NANOS;
            releaseExpiredPlacements(nowNanos);
            postponeLateRequests(nowNanos);
            refuseExpiredRequests(nowNanos);
        }
        placeAll(nowNanos);
        List<PlacementDecision> decisions = List.copyOf(mDecisions);
        mDecisions.clear();
        return decisions;
    }

    private void placeAll(long nowNanos) {
        boolean placed = true;
        while (placed) {
            placed = placeNext(mOnTimeQueue, nowNanos);
        }
        // Late requests are placed only if no request is left that can meet its target.
        placed = mOnTimeQueue.isEmpty();
        while (placed) {
            placed =
                    mEngines.hasSpareCapacity(LATE_FREE_SLOT_FRACTION, nowNanos)
                            && placeNext(mLateQueue, nowNanos);
        }
    }

    /** Returns the number of requests without a decision. */
    public int queuedRequests() {
        return mOnTimeQueue.all().size() + mLateQueue.all().size();
    }

    private boolean placeNext(FairQueue<WorkspaceId, QueuedPlacementRequest> queue, long nowNanos) {
        // No request may overtake one that waits for decode capacity, or small requests would
        // starve large ones.
        return queue.heads().stream()
                .takeWhile(queued -> mEngines.chooseDecode(queued.request(), nowNanos).isPresent())
                .anyMatch(queued -> tryPlace(queue, queued, nowNanos));
    }

    private boolean tryPlace(
            FairQueue<WorkspaceId, QueuedPlacementRequest> queue,
            QueuedPlacementRequest queued,
            long nowNanos) {
        PlacementRequest request = queued.request();
        Optional<PrefillEngine> prefill =
                mEngines.choosePrefill(request, nowNanos)
                        .filter(engine -> engine.backlogNanos(nowNanos) <= MAX_PIPELINED_NANOS);
        Optional<DecodeEngine> decode = mEngines.chooseDecode(request, nowNanos);
        if (decode.isEmpty() || prefill.isEmpty() || isThrottled(request, nowNanos)) {
            return false;
        }
        queue.serve(queued);
        mShares.add(request.workspace(), queued.weight(), queued.tokens(), nowNanos);
        place(request, prefill.get(), decode.get(), nowNanos);
        return true;
    }

    /**
     * Returns whether a request must wait because its workspace is over its share and the pool has
     * less spare capacity than is kept to serve other workspaces without delay.
     */
    private boolean isThrottled(PlacementRequest request, long nowNanos) {
        return mShares.isOverShare(request.workspace(), nowNanos)
                && !mEngines.hasSpareCapacity(OVER_SHARE_FREE_SLOT_FRACTION, nowNanos);
    }

    private void place(
            PlacementRequest request, PrefillEngine prefill, DecodeEngine decode, long nowNanos) {
        prefill.place(request, nowNanos);
        decode.reserve(
                request.request(), mEngines.blocks(request), mEngines.transferNanos(request));
        mPlacements.put(
                request.request(),
                new Placement(request, prefill, decode, nowNanos + PLACEMENT_EXPIRY_NANOS));
        mDecisions.add(
                PlacementDecision.place(
                        request.request(), prefill.spec().id(), decode.spec().id()));
    }

    private void postponeLateRequests(long nowNanos) {
        mOnTimeQueue.all().stream()
                .filter(queued -> lateNanos(queued, nowNanos, nowNanos) > 0)
                .forEach(
                        queued -> {
                            mOnTimeQueue.remove(queued);
                            postpone(queued, nowNanos);
                        });
    }

    private void refuseExpiredRequests(long nowNanos) {
        mLateQueue.all().stream()
                .filter(queued -> lateNanos(queued, nowNanos, nowNanos) > 0)
                .forEach(
                        queued -> {
                            mLateQueue.remove(queued);
                            refuse(queued.request().request(), queuedCostNanos());
                        });
    }

    private long queuedCostNanos() {
        return mOnTimeQueue.totalCost() + mLateQueue.totalCost();
    }

    /**
     * Returns by how much the first token misses its deadline if prefill starts at a given time.
     */
    private long lateNanos(QueuedPlacementRequest queued, long startNanos, long nowNanos) {
        long firstTokenNanos = mEngines.firstTokenNanos(queued.request(), nowNanos);
        return startNanos + firstTokenNanos - queued.deadlineNanos();
    }

    private void refuse(RequestId request, long waitNanos) {
        long retryAfterMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos) + 1;
        mDecisions.add(
                PlacementDecision.refuse(
                        request, Math.max(retryAfterMillis, MIN_RETRY_AFTER_MILLIS)));
    }

    private void learnOutputFraction(PlacementRequest request, int outputTokens) {
        double fraction = (double) outputTokens / Math.max(request.maxOutputTokens(), 1);
        mOutputFraction += (Math.min(fraction, 1) - mOutputFraction) * OUTPUT_SMOOTHING_FACTOR;
    }

    private void releaseExpiredPlacements(long nowNanos) {
        mPlacements.entrySet().stream()
                .filter(entry -> entry.getValue().isExpired(nowNanos))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(request -> release(request, nowNanos));
    }

    private void release(RequestId request, long nowNanos) {
        Placement placement = mPlacements.remove(request);
        if (placement != null) {
            placement.release(nowNanos);
        }
    }
}
