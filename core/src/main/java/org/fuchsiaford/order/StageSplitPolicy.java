package org.fuchsiaford.order;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.selection.EngineLoadSample;

/**
 * Decides from the measured load which engines of a service run prefill and which run decode, where
 * the declaration tells how long a change of stage takes.
 *
 * <p>Load pattern: prompts of several thousand tokens need a fourth of the engines for prefill,
 * prompts of a thousand a tenth, and a fixed share serves only one of them well. An order takes an
 * engine away until its streams have ended and its stage has changed. It is issued only if, by
 * {@link StageCapacity}, more streams start within a minute with it than without, and if this has
 * held for longer than the order takes.
 *
 * <p>Invariant: there is no order before the load has been measured for longer than an order takes,
 * nor while one is pending; each stage keeps an engine; an order in the other direction follows no
 * sooner than several times the time that an order takes. Thread-safe.
 */
public final class StageSplitPolicy {
    /**
     * Fewest engines of a service whose split is measured. With fewer, an order takes more than a
     * tenth of them away for several seconds, and a wrong one costs more than the right one gains.
     */
    public static final int MIN_SERVICE_ENGINES = 10;

    /** With fewer engines, an order would leave a stage to less than half of the engines. */
    private static final int MIN_ENGINES = 3;

    /** Time over which an order has to pay off. */
    private static final double PAYOFF_SECONDS = 60;

    /** Streams that an order has to gain beyond those it costs, since orders are priced. */
    private static final double ORDER_PRICE_STREAMS = 10;

    /**
     * Smallest gain, as a fraction of the mean arrivals per engine: smaller ones are within the
     * errors of the estimate.
     */
    private static final double MIN_GAIN_ENGINES = 0.5;

    /** Time for which a change has to be worth it, in times that an order takes. */
    private static final double HOLD_FACTOR = 1.2;

    /** Time until an order in the other direction, in times that an order takes. */
    private static final double REVERSAL_FACTOR = 6;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<ServiceId, Wish> mWishes = new HashMap<>();
    private final Map<ServiceId, Issued> mIssued = new HashMap<>();

    private record Wish(EngineStage stage, long sinceNanos) {}

    private record Issued(EngineStage stage, long untilNanos) {}

    /** Forgets all that was seen of the load, since this host does not schedule the requests. */
    public synchronized void reset() {
        mWishes.clear();
    }

    /**
     * Returns the next change of a service, if any.
     *
     * @param engines the engines that accept new requests; not empty
     * @param pending the engines that have a pending order
     * @param load the measured load; empty until it has been measured
     * @param tokensPerMilli the speed of a prefill engine, in prompt tokens per millisecond
     */
    public synchronized Optional<StageChoice> next(
            List<LiveServer> engines,
            Set<BackendServerId> pending,
            EngineCapacity capacity,
            Optional<EngineLoadSample> load,
            double tokensPerMilli,
            long nowNanos) {
        if (engines.isEmpty()) {
            return Optional.empty();
        }
        ServiceId service = engines.get(0).service();
        if (engines.stream().anyMatch(engine -> pending.contains(engine.id()))) {
            recordIssued(service, nowNanos);
            return Optional.empty();
        }
        Optional<StageChoice> wanted =
                load.flatMap(l -> wanted(engines, capacity, l, tokensPerMilli));
        if (wanted.isEmpty()) {
            mWishes.remove(service);
            return Optional.empty();
        }
        EngineStage stage = wanted.get().order().stage();
        Wish wish = mWishes.get(service);
        if (wish == null || wish.stage() != stage) {
            wish = new Wish(stage, nowNanos);
            mWishes.put(service, wish);
        }
        long orderNanos = orderNanos(stage, capacity, load.get(), tokensPerMilli);
        boolean held = nowNanos - wish.sinceNanos() >= orderNanos * HOLD_FACTOR;
        boolean measured = load.get().measuredNanos() > orderNanos;
        return wanted.filter(w -> held && measured && !isReversal(w, orderNanos, nowNanos));
    }

    /** The wish stays, so that further orders in the same direction need not wait as long again. */
    private void recordIssued(ServiceId service, long nowNanos) {
        Wish wish = mWishes.get(service);
        if (wish != null) {
            mIssued.put(service, new Issued(wish.stage(), nowNanos));
        }
    }

    private boolean isReversal(StageChoice choice, long orderNanos, long nowNanos) {
        Issued last = mIssued.get(choice.service());
        return last != null
                && last.stage() != choice.order().stage()
                && nowNanos - last.untilNanos() < orderNanos * REVERSAL_FACTOR;
    }

    /**
     * Returns how long an order takes: the change itself, and before it the rest of the running
     * streams, or of a prompt if the engine is a prefill engine.
     */
    private static long orderNanos(
            EngineStage stage, EngineCapacity capacity, EngineLoadSample load, double speed) {
        double restNanos =
                stage == EngineStage.PREFILL
                        ? load.runNanos()
                        : load.promptTokens() / speed * NANOS_PER_MILLI;
        return (long) restNanos + TimeUnit.MILLISECONDS.toNanos(capacity.reconfigureMillis());
    }

    private static Optional<StageChoice> wanted(
            List<LiveServer> engines,
            EngineCapacity capacity,
            EngineLoadSample load,
            double tokensPerMilli) {
        int all = engines.size();
        int prefill = withStage(engines, EngineStage.PREFILL).size();
        int decode = withStage(engines, EngineStage.DECODE).size();
        if (all < MIN_ENGINES || prefill + decode < all) {
            return Optional.empty();
        }
        StageCapacity starts = new StageCapacity(load, capacity, tokensPerMilli, decode);
        int best = best(starts, prefill, all);
        if (best == prefill) {
            return Optional.empty();
        }
        boolean more = best > prefill;
        double served = starts.servedPerSecond(prefill, decode);
        double after = starts.servedPerSecond(prefill + (more ? 1 : -1), decode + (more ? -1 : 1));
        double during = starts.servedPerSecond(prefill - (more ? 0 : 1), decode - (more ? 1 : 0));
        EngineStage stage = more ? EngineStage.PREFILL : EngineStage.DECODE;
        double orderSeconds = orderNanos(stage, capacity, load, tokensPerMilli) / NANOS_PER_SECOND;
        double cost = Math.max(0, served - during) * orderSeconds + ORDER_PRICE_STREAMS;
        double gain = after - served;
        if (gain * PAYOFF_SECONDS < cost
                || gain < load.meanArrivalsPerSecond() / all * MIN_GAIN_ENGINES) {
            return Optional.empty();
        }
        StageOrder order = order(engines, stage);
        return Optional.of(
                new StageChoice(
                        order.engine().service(),
                        order,
                        prefill,
                        decode,
                        best,
                        served,
                        after,
                        tokensPerMilli,
                        load));
    }

    /** Climbs from a number of prefill engines as long as more streams start. */
    static int best(StageCapacity starts, int prefill, int all) {
        int best = prefill;
        double bestServed = starts.servedPerSecond(prefill, all - prefill);
        for (int direction : new int[] {1, -1}) {
            boolean climbs = true;
            while (climbs && best + direction >= 1 && best + direction < all) {
                int next = best + direction;
                double served = starts.servedPerSecond(next, all - next);
                climbs = served > bestServed;
                best = climbs ? next : best;
                bestServed = Math.max(bestServed, served);
            }
        }
        return best;
    }

    /**
     * Orders an engine of the failure domain with the lowest share of prefill engines to prefill,
     * or of the one with the highest to decode. Hosts with the same engines choose the same one.
     */
    private static StageOrder order(List<LiveServer> engines, EngineStage stage) {
        EngineStage from = stage == EngineStage.PREFILL ? EngineStage.DECODE : EngineStage.PREFILL;
        Comparator<LiveServer> byShare =
                Comparator.comparingDouble(e -> prefillShare(engines, e.failureDomain()));
        LiveServer engine =
                withStage(engines, from).stream()
                        .min(
                                (stage == EngineStage.PREFILL ? byShare : byShare.reversed())
                                        .thenComparing(LiveServer::id))
                        .get();
        return new StageOrder(engine, stage);
    }

    private static double prefillShare(List<LiveServer> engines, FailureDomainId domain) {
        return engines.stream()
                .filter(engine -> engine.failureDomain().equals(domain))
                .mapToInt(engine -> engine.hasStage(EngineStage.PREFILL) ? 1 : 0)
                .average()
                .orElse(0);
    }

    private static List<LiveServer> withStage(List<LiveServer> engines, EngineStage stage) {
        return engines.stream().filter(engine -> engine.hasStage(stage)).toList();
    }
}
