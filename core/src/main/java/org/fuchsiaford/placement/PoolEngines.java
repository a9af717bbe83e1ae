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
 * The engines of a pool, as its keeper sees them, and the choice among them.
 *
 * <p>Not thread-safe.
 */
final class PoolEngines {
    private static final double TRANSFER_MARGIN = 1.2;

    /** Messages between router and engines on the way to the first token. */
    private static final long MESSAGES_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    private final Map<BackendServerId, PrefillEngine> mPrefill = new LinkedHashMap<>();
    private final Map<BackendServerId, DecodeEngine> mDecode = new LinkedHashMap<>();
    private ModelSpec mModel;

    PoolEngines(ModelSpec model, List<EngineSpec> engines) {
        configure(model, engines);
    }

    /** Takes other engines over; those that stay keep their state. */
    void configure(ModelSpec model, List<EngineSpec> engines) {
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
                .orElseGet(() -> new PrefillEngine(spec, mModel.blockTokens()));
    }

    private static DecodeEngine decodeEngine(
            EngineSpec spec, Map<BackendServerId, DecodeEngine> present) {
        return Optional.ofNullable(present.get(spec.id()))
                .filter(engine -> engine.spec().equals(spec))
                .orElseGet(() -> new DecodeEngine(spec));
    }

    /** Returns the decode engine with room whose link is freest, then the one with most seats. */
    Optional<DecodeEngine> chooseDecode(PlacementRequest request, long nowNanos) {
        int pieces = pieces(request);
        return mDecode.values().stream()
                .filter(engine -> engine.fits(pieces, nowNanos))
                .min(
                        Comparator.comparingLong(DecodeEngine::pendingTransferNanos)
                                .thenComparing(engine -> -engine.freeSeats(nowNanos)));
    }

    /** Returns the prefill engine that would finish first, counting its backlog and its cache. */
    Optional<PrefillEngine> choosePrefill(PlacementRequest request, long nowNanos) {
        return mPrefill.values().stream()
                .filter(engine -> isUsable(engine, nowNanos))
                .min(Comparator.comparingLong(engine -> finishNanos(engine, request, nowNanos)));
    }

    private static long finishNanos(PrefillEngine engine, PlacementRequest request, long nowNanos) {
        return engine.backlogNanos(nowNanos) + engine.workNanos(request);
    }

    /** An engine that recovers from a failure gets one request at a time. */
    private static boolean isUsable(PrefillEngine engine, long nowNanos) {
        double part = engine.health().usablePart(nowNanos);
        return part == 1 || (part > 0 && engine.isIdle());
    }

    int pieces(PlacementRequest request) {
        return mModel.blocks(request.promptTokens() + request.maxOutputTokens());
    }

    /** Returns the time to the first token if the request were placed now, seats aside. */
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

    /** Returns the time to the first token on engines without any other work. */
    long idleFirstTokenNanos(PlacementRequest request) {
        long prefillNanos =
                mPrefill.values().stream()
                        .mapToLong(engine -> engine.workNanos(request))
                        .min()
                        .orElse(0);
        return prefillNanos + afterPrefillNanos(request);
    }

    private long afterPrefillNanos(PlacementRequest request) {
        return transferNanos(request) + mModel.betweenTokensTargetNanos() + MESSAGES_NANOS;
    }

    long transferNanos(PlacementRequest request) {
        double bytes = (double) request.promptTokens() * mModel.kvBytesPerToken();
        double slowest =
                mDecode.values().stream()
                        .mapToLong(engine -> engine.spec().linkBytesPerSecond())
                        .min()
                        .orElse(1);
        return (long) (bytes / slowest * TimeUnit.SECONDS.toNanos(1) * TRANSFER_MARGIN);
    }

    /** Returns the time that the whole pool needs for a request, by whatever it needs most of. */
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
        return (long) Math.max(prefillNanos, decodeNanos * heldPart(request));
    }

    /** Returns the part of all decode engines that a request holds, by seats or by memory. */
    private double heldPart(PlacementRequest request) {
        double seats = mDecode.values().stream().mapToInt(e -> e.spec().batchSlots()).sum();
        double pieces = mDecode.values().stream().mapToInt(e -> e.spec().blocks()).sum();
        return Math.max(1 / Math.max(seats, 1), pieces(request) / Math.max(pieces, 1));
    }

    /** Returns whether a good part of the seats is free and some engine could prefill at once. */
    boolean hasSlack(double freePart, long nowNanos) {
        int seats = mDecode.values().stream().mapToInt(e -> e.spec().batchSlots()).sum();
        int free = mDecode.values().stream().mapToInt(e -> e.freeSeats(nowNanos)).sum();
        boolean idle = mPrefill.values().stream().anyMatch(e -> e.backlogNanos(nowNanos) == 0);
        return idle && free >= freePart * seats;
    }

    void report(EngineLoad load) {
        Optional.ofNullable(mDecode.get(load.engine())).ifPresent(engine -> engine.report(load));
        Optional.ofNullable(mPrefill.get(load.engine()))
                .ifPresent(engine -> load.cacheEvents().forEach(engine.prefixes()::apply));
    }

    /** Notes that an engine failed; what it had cached is gone. */
    void fail(BackendServerId id, long nowNanos) {
        avoid(id, nowNanos);
        Optional.ofNullable(mPrefill.get(id)).ifPresent(engine -> engine.prefixes().clear());
    }

    /** Gives an engine nothing for a while, since it refused what it should have had room for. */
    void avoid(BackendServerId id, long nowNanos) {
        Optional.ofNullable(mDecode.get(id)).ifPresent(engine -> engine.health().fail(nowNanos));
        Optional.ofNullable(mPrefill.get(id)).ifPresent(engine -> engine.health().fail(nowNanos));
    }
}
