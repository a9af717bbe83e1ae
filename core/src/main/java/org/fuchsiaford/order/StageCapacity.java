package org.fuchsiaford.order;

import java.util.stream.IntStream;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.selection.EngineLoadSample;

/**
 * Estimates how many streams a second start in time under a measured load, for any number of
 * prefill and decode engines.
 *
 * <p>Prompts wait for one of the prefill engines, and streams for the KV cache that one stream
 * holds at a decode engine; both waits are those of a queue with several servers and random
 * arrivals. Prompts that make no stream late may be read by decode engines instead, at half the
 * speed; their streams stand still meanwhile and hold KV cache for longer. Immutable.
 */
final class StageCapacity {
    /** Prefill time on a decode engine relative to a prefill engine. */
    private static final double DECODE_PREFILL_SLOWDOWN = 2;

    /**
     * Fraction of KV cache in use when the next request usually finds no room at any engine, since
     * the free part is spread over engines.
     */
    private static final double KV_CACHE_UTILIZATION = 0.9;

    /** Highest fraction of its time in which a decode engine may read prompts. */
    private static final double MAX_READ_FRACTION = 0.5;

    /** Fraction of the first-event target for which a request can wait and still be in time. */
    private static final double WAIT_TARGET_FRACTION = 0.5;

    /** Rates and divisions of the prompts that are tried. */
    private static final int RATE_STEPS = 20;

    private static final int READ_STEPS = 4;

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineLoadSample mLoad;
    private final double mReadTokensPerSecond;
    private final double mStreamsPerEngine;
    private final double mRunSeconds;
    private final double mPrefillSeconds;
    private final double mWaitSeconds;

    /**
     * Creates the capacity under a load.
     *
     * @param tokensPerMilli the speed of a prefill engine, in prompt tokens per millisecond
     * @param decodeEngines the decode engines under which the load was measured
     */
    StageCapacity(
            EngineLoadSample load,
            EngineCapacity capacity,
            double tokensPerMilli,
            int decodeEngines) {
        mLoad = load;
        mReadTokensPerSecond = tokensPerMilli * MILLIS_PER_SECOND;
        mStreamsPerEngine =
                Math.min(
                        capacity.maxConcurrentRequests(),
                        capacity.kvCacheTokens()
                                * KV_CACHE_UTILIZATION
                                / Math.max(1, load.kvTokens()));
        double readFraction = readFraction(load.decodeReadTokensPerSecond(), decodeEngines);
        mRunSeconds = load.runNanos() / NANOS_PER_SECOND * (1 - readFraction);
        mPrefillSeconds = Math.max(1, load.promptTokens()) / mReadTokensPerSecond;
        mWaitSeconds = load.targetMillis() / MILLIS_PER_SECOND * WAIT_TARGET_FRACTION;
    }

    private double readFraction(double tokensPerSecond, int decodeEngines) {
        double perEngine = tokensPerSecond / Math.max(1, decodeEngines);
        return Math.min(
                MAX_READ_FRACTION, perEngine * DECODE_PREFILL_SLOWDOWN / mReadTokensPerSecond);
    }

    /**
     * Returns the streams a second that start in time under the measured arrivals. Of more arrivals
     * than can start, the rest is refused.
     */
    double servedPerSecond(int prefillEngines, int decodeEngines) {
        if (decodeEngines <= 0) {
            return 0;
        }
        return mLoad.arrivalsPerSecond().stream()
                .mapToDouble(rate -> served(rate, prefillEngines, decodeEngines))
                .average()
                .orElse(0);
    }

    private double served(double arrivals, int prefillEngines, int decodeEngines) {
        double allInTime = arrivals * inTime(arrivals, prefillEngines, decodeEngines);
        if (allInTime >= arrivals * (RATE_STEPS - 1) / RATE_STEPS) {
            return allInTime;
        }
        return IntStream.rangeClosed(1, RATE_STEPS)
                .mapToDouble(i -> arrivals * i / RATE_STEPS)
                .map(rate -> rate * inTime(rate, prefillEngines, decodeEngines))
                .max()
                .orElse(0);
    }

    /** Returns the fraction in time with the best division of the prompts that any may read. */
    private double inTime(double rate, int prefillEngines, int decodeEngines) {
        double apart = mLoad.apartFraction();
        return prefillEngines == 0
                ? inTime(rate, 0, decodeEngines, 1) * (1 - apart)
                : IntStream.rangeClosed(0, READ_STEPS)
                        .mapToDouble(i -> (1 - apart) * i / READ_STEPS)
                        .map(read -> inTime(rate, prefillEngines, decodeEngines, read))
                        .max()
                        .orElse(0);
    }

    private double inTime(
            double rate, int prefillEngines, int decodeEngines, double decodeReadFraction) {
        double decodeTokens = rate * mLoad.promptTokens() * decodeReadFraction;
        double readFraction = readFraction(decodeTokens, decodeEngines);
        if (readFraction >= MAX_READ_FRACTION) {
            return 0;
        }
        double prefillRate = rate * (1 - decodeReadFraction);
        double heldSeconds = mRunSeconds / (1 - readFraction) + mPrefillSeconds;
        return (1 - late(prefillRate, mPrefillSeconds, prefillEngines))
                * (1 - late(rate, heldSeconds, decodeEngines * mStreamsPerEngine));
    }

    /** Returns the fraction that waits too long, by the approximation of Sakasegawa. */
    private double late(double rate, double serviceSeconds, double servers) {
        double load = rate * serviceSeconds;
        if (load == 0) {
            return 0;
        }
        if (load >= servers) {
            return 1;
        }
        double waits = Math.pow(load / servers, Math.sqrt(2 * (servers + 1)) - 1);
        return waits * Math.exp(-(servers - load) / serviceSeconds * mWaitSeconds);
    }
}
