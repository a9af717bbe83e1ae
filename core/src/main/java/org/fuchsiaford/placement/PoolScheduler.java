package org.fuchsiaford.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.request.RequestId;

/**
 * The placement policy of a pool. Decode room is held before a prefill starts, so that a prefill's
 * result is never without a place. The prefill engine is the one that would finish first, counting
 * its backlog and the prefix that it has cached. Requests wait here rather than at an engine, in
 * fair order over workspaces; one whose first token cannot come in time is refused at once.
 *
 * <p>Invariants: an engine never holds more requests or pieces than it has room for; a request gets
 * exactly one decision. Not thread-safe.
 */
public final class PoolScheduler implements PlacementPolicy {
    /** How much work an engine may have ahead when it gets the next, to bridge message delays. */
    private static final long PIPELINE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private static final long SILENCE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long SHORTEST_RETRY_MILLIS = 50;
    private static final double TRANSFER_MARGIN = 1.2;
    private static final double LONG_PROMPT_MARGIN = 1.25;
    private static final double OUTPUT_SMOOTHING = 0.05;

    private ModelSpec mModel;
    private final Map<BackendServerId, PrefillEngine> mPrefill = new LinkedHashMap<>();
    private final Map<BackendServerId, DecodeEngine> mDecode = new LinkedHashMap<>();
    private final FairQueue mQueue = new FairQueue();
    private final Map<RequestId, Placement> mPlacements = new HashMap<>();
    private final List<PlacementDecision> mDecisions = new ArrayList<>();
    private double mUsedOutputPart = 1;

    private static final class Placement {
        private final PlacementRequest mRequest;
        private final PrefillEngine mPrefillEngine;
        private final DecodeEngine mDecodeEngine;
        private long mForgetNanos;

        Placement(PlacementRequest request, PrefillEngine prefill, DecodeEngine decode) {
            mRequest = request;
            mPrefillEngine = prefill;
            mDecodeEngine = decode;
        }
    }

    /** Creates a policy for the engines of a pool. */
    public PoolScheduler(ModelSpec model, List<EngineSpec> engines) {
        configure(model, engines);
    }

    @Override
    public void reconfigure(ModelSpec model, List<EngineSpec> engines) {
        configure(model, engines);
    }

    private void configure(ModelSpec model, List<EngineSpec> engines) {
        mModel = model;
        Map<BackendServerId, PrefillEngine> prefill = new LinkedHashMap<>(mPrefill);
        Map<BackendServerId, DecodeEngine> decode = new LinkedHashMap<>(mDecode);
        mPrefill.clear();
        mDecode.clear();
        engines.stream()
                .filter(spec -> spec.kind() == BackendKind.PREFILL)
                .forEach(spec -> mPrefill.put(spec.id(), prefillEngine(spec, prefill)));
        engines.stream()
                .filter(spec -> spec.kind() == BackendKind.DECODE)
                .forEach(spec -> mDecode.put(spec.id(), decodeEngine(spec, decode)));
    }

    private PrefillEngine prefillEngine(
            EngineSpec spec, Map<BackendServerId, PrefillEngine> present) {
        return Optional.ofNullable(present.get(spec.id()))
                .filter(engine -> engine.spec().equals(spec))
                .orElseGet(() -> new PrefillEngine(spec, mModel.pieceTokens()));
    }

    private static DecodeEngine decodeEngine(
            EngineSpec spec, Map<BackendServerId, DecodeEngine> present) {
        return Optional.ofNullable(present.get(spec.id()))
                .filter(engine -> engine.spec().equals(spec))
                .orElseGet(() -> new DecodeEngine(spec));
    }

    @Override
    public void submit(PlacementRequest request, long nowNanos) {
        long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.firstTokenMillis());
        QueuedRequest queued = new QueuedRequest(request, deadlineNanos, costNanos(request));
        long waitNanos = mQueue.costAheadNanos(request);
        long lateNanos = nowNanos + waitNanos + serviceNanos(request, nowNanos) - deadlineNanos;
        if (lateNanos > 0) {
            refuse(request.request(), lateNanos);
            return;
        }
        mQueue.add(queued);
    }

    /**
     * A prompt too long for the target even on idle engines is due as soon as these could do it.
     */
    private long deadlineNanos(PlacementRequest request, long nowNanos) {
        long targetNanos = TimeUnit.MILLISECONDS.toNanos(request.firstTokenMillis());
        long idleNanos =
                mPrefill.values().stream()
                                .mapToLong(engine -> engine.workNanos(request))
                                .min()
                                .orElse(0)
                        + transferNanos(request);
        return nowNanos + Math.max(targetNanos, (long) (idleNanos * LONG_PROMPT_MARGIN));
    }

    @Override
    public void withdraw(RequestId request, long nowNanos) {
        mQueue.find(request).ifPresent(mQueue::remove);
        release(request, nowNanos);
    }

    @Override
    public void record(PlacementEvent event, long nowNanos) {
        Placement placement = mPlacements.get(event.request());
        if (placement == null) {
            return;
        }
        placement.mForgetNanos = nowNanos + SILENCE_LIMIT_NANOS;
        switch (event.kind()) {
            case PREFILL_FINISHED -> {
                placement.mPrefillEngine.remove(event.request(), nowNanos);
                placement.mPrefillEngine.health().succeed();
            }
            case FIRST_TOKEN -> placement.mDecodeEngine.health().succeed();
            case FINISHED -> learnOutput(placement.mRequest, event.outputTokens());
            case ENGINE_FAILED -> fail(event.engine(), nowNanos);
            case RUNNING, CANCELLED, ENGINE_REFUSED -> {}
        }
        if (event.isFinal()) {
            release(event.request(), nowNanos);
        }
    }

    @Override
    public void report(EngineLoad load, long nowNanos) {
        Optional.ofNullable(mDecode.get(load.engine())).ifPresent(engine -> engine.report(load));
        Optional.ofNullable(mPrefill.get(load.engine()))
                .ifPresent(engine -> load.cacheEvents().forEach(engine.prefixes()::apply));
    }

    /** Takes note that an engine is gone or, after a failure, to be tried again later. */
    public void fail(BackendServerId id, long nowNanos) {
        Optional.ofNullable(mDecode.get(id)).ifPresent(engine -> engine.health().fail(nowNanos));
        Optional.ofNullable(mPrefill.get(id))
                .ifPresent(
                        engine -> {
                            engine.health().fail(nowNanos);
                            engine.prefixes().clear();
                        });
    }

    @Override
    public List<PlacementDecision> decide(long nowNanos) {
        forgetSilent(nowNanos);
        refuseLate(nowNanos);
        while (placeNext(nowNanos)) {
            refuseLate(nowNanos);
        }
        List<PlacementDecision> decisions = List.copyOf(mDecisions);
        mDecisions.clear();
        return decisions;
    }

    /** Returns how many requests wait. */
    public int queued() {
        return mQueue.all().size();
    }

    private boolean placeNext(long nowNanos) {
        return mQueue.heads().stream().anyMatch(queued -> tryPlace(queued, nowNanos));
    }

    private boolean tryPlace(QueuedRequest queued, long nowNanos) {
        PlacementRequest request = queued.request();
        int pieces = mModel.pieces(request.promptTokens() + request.maxOutputTokens());
        Optional<DecodeEngine> decode = chooseDecode(pieces, nowNanos);
        Optional<PrefillEngine> prefill = choosePrefill(request, nowNanos);
        if (decode.isEmpty()
                || prefill.isEmpty()
                || prefill.get().backlogNanos(nowNanos) > PIPELINE_NANOS) {
            return false;
        }
        mQueue.serve(queued);
        prefill.get().place(request, nowNanos);
        decode.get().hold(request.request(), pieces);
        Placement placement = new Placement(request, prefill.get(), decode.get());
        placement.mForgetNanos = nowNanos + SILENCE_LIMIT_NANOS;
        mPlacements.put(request.request(), placement);
        mDecisions.add(
                PlacementDecision.place(
                        request.request(), prefill.get().spec().id(), decode.get().spec().id()));
        return true;
    }

    private Optional<DecodeEngine> chooseDecode(int pieces, long nowNanos) {
        return mDecode.values().stream()
                .filter(engine -> engine.fits(pieces, nowNanos))
                .max(Comparator.comparingInt(engine -> engine.freeSeats(nowNanos)));
    }

    private Optional<PrefillEngine> choosePrefill(PlacementRequest request, long nowNanos) {
        return mPrefill.values().stream()
                .filter(engine -> isUsable(engine, nowNanos))
                .min(
                        Comparator.comparingLong(
                                engine ->
                                        engine.backlogNanos(nowNanos) + engine.workNanos(request)));
    }

    /** An engine that recovers from a failure gets one request at a time. */
    private static boolean isUsable(PrefillEngine engine, long nowNanos) {
        double part = engine.health().usablePart(nowNanos);
        return part == 1 || (part > 0 && engine.isIdle());
    }

    private void refuseLate(long nowNanos) {
        mQueue.all().stream()
                .filter(q -> lateNanos(q, nowNanos) > 0)
                .forEach(
                        queued -> {
                            mQueue.remove(queued);
                            long lateNanos = lateNanos(queued, nowNanos);
                            refuse(
                                    queued.request().request(),
                                    lateNanos + mQueue.costAheadNanos(queued.request()));
                        });
    }

    private long lateNanos(QueuedRequest queued, long nowNanos) {
        return nowNanos + serviceNanos(queued.request(), nowNanos) - queued.deadlineNanos();
    }

    private void refuse(RequestId request, long lateNanos) {
        long retryMillis = TimeUnit.NANOSECONDS.toMillis(lateNanos) + 1;
        mDecisions.add(
                PlacementDecision.refuse(request, Math.max(retryMillis, SHORTEST_RETRY_MILLIS)));
    }

    /** The time from the start of the prefill to the first token, on the best engine now. */
    private long serviceNanos(PlacementRequest request, long nowNanos) {
        long prefillNanos =
                mPrefill.values().stream()
                        .mapToLong(e -> e.backlogNanos(nowNanos) + e.workNanos(request))
                        .min()
                        .orElse(Long.MAX_VALUE / 4);
        return prefillNanos + transferNanos(request);
    }

    private long transferNanos(PlacementRequest request) {
        double bytes = (double) request.promptTokens() * mModel.kvBytesPerToken();
        double slowest =
                mDecode.values().stream()
                        .mapToLong(engine -> engine.spec().linkBytesPerSecond())
                        .min()
                        .orElse(1);
        return (long) (bytes / slowest * TimeUnit.SECONDS.toNanos(1) * TRANSFER_MARGIN);
    }

    private long costNanos(PlacementRequest request) {
        double prefillPerSecond =
                mPrefill.values().stream()
                        .mapToDouble(engine -> engine.spec().prefillTokensPerSecond())
                        .sum();
        double seats = mDecode.values().stream().mapToInt(e -> e.spec().seats()).sum();
        int uncached =
                mPrefill.values().stream()
                        .mapToInt(engine -> engine.uncachedTokens(request))
                        .min()
                        .orElse(request.promptTokens());
        double prefillSeconds = uncached / Math.max(prefillPerSecond, 1);
        double output = request.maxOutputTokens() * mUsedOutputPart;
        double decodeNanos = output * mModel.betweenTokensTargetNanos() / Math.max(seats, 1);
        return (long) Math.max(prefillSeconds * TimeUnit.SECONDS.toNanos(1), decodeNanos);
    }

    private void learnOutput(PlacementRequest request, int outputTokens) {
        double part = (double) outputTokens / Math.max(request.maxOutputTokens(), 1);
        mUsedOutputPart += (Math.min(part, 1) - mUsedOutputPart) * OUTPUT_SMOOTHING;
    }

    private void forgetSilent(long nowNanos) {
        mPlacements.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().mForgetNanos >= 0)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(request -> release(request, nowNanos));
    }

    private void release(RequestId request, long nowNanos) {
        Placement placement = mPlacements.remove(request);
        if (placement != null) {
            placement.mPrefillEngine.remove(request, nowNanos);
            placement.mDecodeEngine.release(request);
        }
    }
}
