package org.fuchsiaford.placement;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;

/**
 * The engines of a pool, as seen by its scheduler: selects engines and estimates latency and cost.
 *
 * <p>Not thread-safe.
 */
final class PoolEngines {
    private static final double TRANSFER_TIME_MARGIN = 1.2;

    /** Time allowed for messages between router and engines until the first token. */
    private static final long MESSAGING_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    private final Map<BackendServerId, PrefillEngine> mPrefill = new LinkedHashMap<>();
    private final Map<BackendServerId, DecodeEngine> mDecode = new LinkedHashMap<>();
    private ModelSpec mModel;

    PoolEngines(ModelSpec model, List<EngineSpec> engines) {
        configure(model, engines);
    }

    /** Replaces the model and the engines; engines with an unchanged spec keep their state. */
    void configure(ModelSpec model, List<EngineSpec> engines) {
        mModel = model;
        Map<BackendServerId, PrefillEngine> prefill = new LinkedHashMap<>(mPrefill);
        Map<BackendServerId, DecodeEngine> decode = new LinkedHashMap<>(mDecode);
        mPrefill.clear();
        mDecode.clear();
        engines.stream()
                .filter(spec -> spec.kind() == BackendKind.PREFILL)
                .forEach(spec -> mPrefill.put(spec.id(), reuseOrCreatePrefill(spec, prefill)));
        engines.stream()
                .filter(spec -> spec.kind() == BackendKind.DECODE)
                .forEach(spec -> mDecode.put(spec.id(), reuseOrCreateDecode(spec, decode)));
    }

    private PrefillEngine reuseOrCreatePrefill(
            EngineSpec spec, Map<BackendServerId, PrefillEngine> existing) {
        return Optional.ofNullable(existing.get(spec.id()))
                .filter(engine -> engine.spec().equals(spec))
                .orElseGet(() -> new PrefillEngine(spec, mModel.blockTokens()));
    }

    private static DecodeEngine reuseOrCreateDecode(
            EngineSpec spec, Map<BackendServerId, DecodeEngine> existing) {
        return Optional.ofNullable(existing.get(spec.id()))
                .filter(engine -> engine.spec().equals(spec))
                .orElseGet(() -> new DecodeEngine(spec));
    }

    /**
     * Returns the decode engine with enough capacity that has the least pending transfer time, and
     * among equals the most free batch slots.
     */
    Optional<DecodeEngine> chooseDecode(PlacementRequest request, long nowNanos) {
        int blocks = blocks(request);
        return mDecode.values().stream()
                .filter(engine -> engine.fits(blocks, nowNanos))
                .min(
                        Comparator.comparingLong(DecodeEngine::pendingTransferNanos)
                                .thenComparing(engine -> -engine.freeBatchSlots(nowNanos)));
    }

    /** Returns the prefill engine that would finish first, given its backlog and its cache. */
    Optional<PrefillEngine> choosePrefill(PlacementRequest request, long nowNanos) {
        return mPrefill.values().stream()
                .filter(engine -> isUsable(engine, nowNanos))
                .min(Comparator.comparingLong(engine -> finishNanos(engine, request, nowNanos)));
    }

    private static long finishNanos(PrefillEngine engine, PlacementRequest request, long nowNanos) {
        return engine.backlogNanos(nowNanos) + engine.workNanos(request);
    }

    /** An engine that is recovering from a failure gets one request at a time. */
    private static boolean isUsable(PrefillEngine engine, long nowNanos) {
        double fraction = engine.health().usableFraction(nowNanos);
        return fraction == 1 || (fraction > 0 && engine.isIdle());
    }

    int blocks(PlacementRequest request) {
        return mModel.blocks(request.promptTokens() + request.maxOutputTokens());
    }

    /** Returns the time to first token if the request were placed now, ignoring batch slots. */
    long firstTokenNanos(PlacementRequest request, long nowNanos) {
        long prefillNanos =
                mPrefill.values().stream()
                        .mapToLong(engine -> finishNanos(engine, request, nowNanos))
                        .min()
                        .orElse(Long.MAX_VALUE / 4);
        long linkNanos =
                mDecode.values().stream()
                        .mapToLong(DecodeEngine::pendingTransferNanos)
                        .min()
                        .orElse(0);
        return prefillNanos + Math.max(linkNanos - prefillNanos, 0) + afterPrefillNanos(request);
    }

    /** Returns the time to first token on idle engines. */
    long idleFirstTokenNanos(PlacementRequest request) {
        long prefillNanos =
                mPrefill.values().stream()
                        .mapToLong(engine -> engine.workNanos(request))
                        .min()
                        .orElse(0);
        return prefillNanos + afterPrefillNanos(request);
    }

    private long afterPrefillNanos(PlacementRequest request) {
        return transferNanos(request) + mModel.betweenTokensTargetNanos() + MESSAGING_NANOS;
    }

    long transferNanos(PlacementRequest request) {
        double bytes = (double) request.promptTokens() * mModel.kvBytesPerToken();
        double slowest =
                mDecode.values().stream()
                        .mapToLong(engine -> engine.spec().linkBytesPerSecond())
                        .min()
                        .orElse(1);
        return (long) (bytes / slowest * TimeUnit.SECONDS.toNanos(1) * TRANSFER_TIME_MARGIN);
    }

    /**
     * Returns the time that the whole pool needs for a request, for prefill or for decode,
     * whichever is more.
     */
    long costNanos(PlacementRequest request, double expectedOutputTokens) {
        double prefillPerSecond =
                mPrefill.values().stream()
                        .mapToDouble(engine -> engine.spec().prefillTokensPerSecond())
                        .sum();
        int uncached =
                mPrefill.values().stream()
                        .mapToInt(engine -> engine.uncachedTokens(request))
                        .min()
                        .orElse(request.promptTokens());
        double prefillNanos =
                uncached / Math.max(prefillPerSecond, 1) * TimeUnit.SECONDS.toNanos(1);
        double decodeNanos = expectedOutputTokens * mModel.betweenTokensTargetNanos();
        return (long) Math.max(prefillNanos, decodeNanos * decodeFraction(request));
    }

    /**
     * Returns the fraction of the pool's decode capacity that a request needs, by batch slots or KV
     * cache blocks, whichever is more.
     */
    private double decodeFraction(PlacementRequest request) {
        double slots = mDecode.values().stream().mapToInt(e -> e.spec().batchSlots()).sum();
        double blocks = mDecode.values().stream().mapToInt(e -> e.spec().blocks()).sum();
        return Math.max(1 / Math.max(slots, 1), blocks(request) / Math.max(blocks, 1));
    }

    /**
     * Returns whether at least the given fraction of all batch slots is free and a prefill engine
     * has no backlog.
     */
    boolean hasSpareCapacity(double freeFraction, long nowNanos) {
        int slots = mDecode.values().stream().mapToInt(e -> e.spec().batchSlots()).sum();
        int freeSlots = mDecode.values().stream().mapToInt(e -> e.freeBatchSlots(nowNanos)).sum();
        boolean idle = mPrefill.values().stream().anyMatch(e -> e.backlogNanos(nowNanos) == 0);
        return idle && freeSlots >= freeFraction * slots;
    }

    void updateLoad(EngineLoad load) {
        Optional.ofNullable(mDecode.get(load.engine()))
                .ifPresent(engine -> engine.updateLoad(load));
        Optional.ofNullable(mPrefill.get(load.engine()))
                .ifPresent(engine -> load.cacheEvents().forEach(engine.prefixCache()::apply));
    }

    /** Records a failure of an engine, which loses the contents of its prefix cache. */
    void recordFailure(BackendServerId id, long nowNanos) {
        recordRefusal(id, nowNanos);
        Optional.ofNullable(mPrefill.get(id)).ifPresent(engine -> engine.prefixCache().clear());
    }

    /**
     * Records that an engine refused a request although it should have had capacity; it gets no
     * requests during a backoff.
     */
    void recordRefusal(BackendServerId id, long nowNanos) {
        Optional.ofNullable(mDecode.get(id))
                .ifPresent(engine -> engine.health().recordFailure(nowNanos));
        Optional.ofNullable(mPrefill.get(id))
                .ifPresent(engine -> engine.health().recordFailure(nowNanos));
    }
}
