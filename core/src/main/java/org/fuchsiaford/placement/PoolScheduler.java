package org.fuchsiaford.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.request.RequestId;

/**
 * The placement policy of a pool. Decode room is held before a prefill starts, so that a prefill's
 * result is never without a place. Requests wait here rather than at an engine, in fair order over
 * workspaces. One whose first token can no longer come in time moves to a second queue, which is
 * served only from slack, so that it costs no other request its target; it is refused at once when
 * even its patience could not be met, with the time after which the work ahead is done.
 *
 * <p>Invariants: an engine never holds more requests or pieces than it has room for; a request gets
 * exactly one decision. Not thread-safe.
 */
public final class PoolScheduler implements PlacementPolicy {
    /** How much work an engine may have ahead when it gets the next, to bridge message delays. */
    private static final long PIPELINE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /**
     * The longest that a request waits for its decision beyond the time it needs on idle engines.
     */
    public static final Duration MAX_DECISION_WAIT = Duration.ofMillis(2_500);

    /** How long a request that misses its target may wait for slack. */
    private static final long PATIENCE_NANOS = MAX_DECISION_WAIT.toNanos();

    /** How often all waiting requests are looked at for deadlines; events in between only place. */
    private static final long SWEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

    private static final long SILENCE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long SHORTEST_RETRY_MILLIS = 50;
    private static final double SLACK_SEATS_PART = 0.05;
    private static final double RESERVED_SEATS_PART = 0.1;
    private static final double OUTPUT_SMOOTHING = 0.05;

    private final PoolEngines mEngines;
    private final ShareMeter mShares = new ShareMeter();
    private final FairQueue mPrompt = new FairQueue();
    private final FairQueue mLate = new FairQueue();
    private final Map<RequestId, Placement> mPlacements = new HashMap<>();
    private final List<PlacementDecision> mDecisions = new ArrayList<>();
    private double mUsedOutputPart = 1;
    private long mNextSweepNanos;

    /** Creates a policy for the engines of a pool. */
    public PoolScheduler(ModelSpec model, List<EngineSpec> engines) {
        mEngines = new PoolEngines(model, engines);
        mNextSweepNanos = Long.MIN_VALUE / 2;
    }

    @Override
    public void reconfigure(ModelSpec model, List<EngineSpec> engines) {
        mEngines.configure(model, engines);
    }

    @Override
    public void submit(PlacementRequest request, long nowNanos) {
        long targetNanos = TimeUnit.MILLISECONDS.toNanos(request.firstTokenMillis());
        long output = (long) (request.maxOutputTokens() * mUsedOutputPart);
        long costNanos = mEngines.costNanos(request, output);
        QueuedRequest queued =
                new QueuedRequest(
                        request,
                        nowNanos + targetNanos,
                        costNanos,
                        request.promptTokens() + output);
        long aheadNanos = mPrompt.costAheadNanos(request);
        if (lateNanos(queued, nowNanos + aheadNanos, nowNanos) <= 0) {
            mPrompt.add(queued);
        } else {
            postpone(queued, nowNanos);
        }
    }

    /** Moves a request that misses its target to the second queue, or refuses it. */
    private void postpone(QueuedRequest queued, long nowNanos) {
        PlacementRequest request = queued.request();
        long idleNanos = mEngines.idleFirstTokenNanos(request);
        QueuedRequest patient = queued.withDeadline(nowNanos + PATIENCE_NANOS + idleNanos);
        long aheadNanos = mPrompt.totalCostNanos() + mLate.costAheadNanos(request);
        long lateNanos = lateNanos(patient, nowNanos + aheadNanos, nowNanos);
        if (lateNanos > 0) {
            refuse(request.request(), lateNanos);
        } else {
            mLate.add(patient);
        }
    }

    @Override
    public void withdraw(RequestId request, long nowNanos) {
        mPrompt.find(request).ifPresent(mPrompt::remove);
        mLate.find(request).ifPresent(mLate::remove);
        release(request, nowNanos);
    }

    @Override
    public void recordEvent(PlacementEvent event, long nowNanos) {
        Placement placement = mPlacements.get(event.request());
        if (placement == null) {
            return;
        }
        placement.keepUntil(nowNanos + SILENCE_LIMIT_NANOS);
        switch (event.kind()) {
            case PREFILL_FINISHED -> {
                placement.prefill().remove(event.request(), nowNanos);
                placement.prefill().health().succeed();
            }
            case FIRST_TOKEN -> {
                placement.decode().transferred(event.request());
                placement.decode().health().succeed();
            }
            case FINISHED -> learnOutput(placement.request(), event.outputTokens());
            case ENGINE_FAILED -> mEngines.fail(event.engine(), nowNanos);
            case ENGINE_REFUSED -> mEngines.avoid(event.engine(), nowNanos);
            case RUNNING, CANCELLED -> {}
        }
        if (event.isFinal()) {
            release(event.request(), nowNanos);
        }
    }

    @Override
    public void updateLoad(EngineLoad load, long nowNanos) {
        mEngines.report(load);
    }

    @Override
    public List<PlacementDecision> decide(long nowNanos) {
        if (nowNanos - mNextSweepNanos >= 0) {
            mNextSweepNanos = nowNanos + SWEEP_NANOS;
            forgetSilent(nowNanos);
            postponeLate(nowNanos);
            refuseImpatient(nowNanos);
        }
        placeAll(nowNanos);
        List<PlacementDecision> decisions = List.copyOf(mDecisions);
        mDecisions.clear();
        return decisions;
    }

    private void placeAll(long nowNanos) {
        boolean placed = true;
        while (placed) {
            placed = placeNext(mPrompt, nowNanos);
        }
        placed = mPrompt.isEmpty();
        while (placed) {
            placed = mEngines.hasSlack(SLACK_SEATS_PART, nowNanos) && placeNext(mLate, nowNanos);
        }
    }

    /** Returns how many requests wait. */
    public int queuedRequests() {
        return mPrompt.all().size() + mLate.all().size();
    }

    private boolean placeNext(FairQueue queue, long nowNanos) {
        // A request that waits for decode room is not overtaken, else small ones would starve it.
        return queue.heads().stream()
                .takeWhile(queued -> mEngines.chooseDecode(queued.request(), nowNanos).isPresent())
                .anyMatch(queued -> tryPlace(queue, queued, nowNanos));
    }

    private boolean tryPlace(FairQueue queue, QueuedRequest queued, long nowNanos) {
        PlacementRequest request = queued.request();
        Optional<PrefillEngine> prefill =
                mEngines.choosePrefill(request, nowNanos)
                        .filter(engine -> engine.backlogNanos(nowNanos) <= PIPELINE_NANOS);
        Optional<DecodeEngine> decode = mEngines.chooseDecode(request, nowNanos);
        if (decode.isEmpty() || prefill.isEmpty() || mustLeaveRoom(request, nowNanos)) {
            return false;
        }
        queue.serve(queued);
        mShares.add(request, queued.tokens(), nowNanos);
        place(request, prefill.get(), decode.get(), nowNanos);
        return true;
    }

    /** Beyond its share a workspace gets only what leaves room for others to be served at once. */
    private boolean mustLeaveRoom(PlacementRequest request, long nowNanos) {
        return mShares.isOverShare(request.workspace(), nowNanos)
                && !mEngines.hasSlack(RESERVED_SEATS_PART, nowNanos);
    }

    private void place(
            PlacementRequest request, PrefillEngine prefill, DecodeEngine decode, long nowNanos) {
        prefill.place(request, nowNanos);
        decode.hold(request.request(), mEngines.pieces(request), mEngines.transferNanos(request));
        mPlacements.put(
                request.request(),
                new Placement(request, prefill, decode, nowNanos + SILENCE_LIMIT_NANOS));
        mDecisions.add(
                PlacementDecision.place(
                        request.request(), prefill.spec().id(), decode.spec().id()));
    }

    private void postponeLate(long nowNanos) {
        mPrompt.all().stream()
                .filter(queued -> lateNanos(queued, nowNanos, nowNanos) > 0)
                .forEach(
                        queued -> {
                            mPrompt.remove(queued);
                            postpone(queued, nowNanos);
                        });
    }

    private void refuseImpatient(long nowNanos) {
        mLate.all().stream()
                .filter(queued -> lateNanos(queued, nowNanos, nowNanos) > 0)
                .forEach(
                        queued -> {
                            mLate.remove(queued);
                            refuse(queued.request().request(), workAheadNanos());
                        });
    }

    private long workAheadNanos() {
        return mPrompt.totalCostNanos() + mLate.totalCostNanos();
    }

    /** By how much a first token would miss its deadline if its prefill began at a given time. */
    private long lateNanos(QueuedRequest queued, long startNanos, long nowNanos) {
        long firstTokenNanos = mEngines.firstTokenNanos(queued.request(), nowNanos);
        return startNanos + firstTokenNanos - queued.deadlineNanos();
    }

    private void refuse(RequestId request, long waitNanos) {
        long retryMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos) + 1;
        mDecisions.add(
                PlacementDecision.refuse(request, Math.max(retryMillis, SHORTEST_RETRY_MILLIS)));
    }

    private void learnOutput(PlacementRequest request, int outputTokens) {
        double part = (double) outputTokens / Math.max(request.maxOutputTokens(), 1);
        mUsedOutputPart += (Math.min(part, 1) - mUsedOutputPart) * OUTPUT_SMOOTHING;
    }

    private void forgetSilent(long nowNanos) {
        mPlacements.entrySet().stream()
                .filter(entry -> entry.getValue().isForgotten(nowNanos))
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
