package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.fleet.FailureRate;
import org.fuchsiaford.fleet.ServerOutcomes;

/**
 * The recent failure rate of each backend server over all hosts, as a coordinator computes it.
 *
 * <p>Load pattern: a server fails a part of its calls while its status is good. In a large fleet,
 * each host calls it so rarely that by itself it would not find out. Invariant: outcomes lose half
 * of their weight in each {@link #HALF_LIFE_NANOS}. Thread-safe.
 */
public final class FleetHealth {
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Weight of recent calls from which on a rate is stated. */
    private static final double MIN_CALLS = 6;

    /**
     * Weight of recent calls below which a server is forgotten and tried again. Until then its rate
     * stays stated, although it gets few calls because of it.
     */
    private static final double MIN_REMEMBERED_CALLS = 1;

    /** Rate below which a server counts as sound: requests also fail for reasons of their own. */
    private static final double MIN_RATE = 0.05;

    private final Map<BackendServerId, Counts> mCounts = new HashMap<>();

    private static final class Counts {
        private double mCalls;
        private double mFailures;
        private long mUpdatedNanos;
        private boolean mStated;

        void decay(long nowNanos) {
            double factor = Math.pow(2, -(double) (nowNanos - mUpdatedNanos) / HALF_LIFE_NANOS);
            mCalls *= factor;
            mFailures *= factor;
            mUpdatedNanos = nowNanos;
        }
    }

    /** Adds the outcomes that a host reports. */
    public synchronized void add(List<ServerOutcomes> outcomes, long nowNanos) {
        outcomes.forEach(
                outcome -> {
                    Counts counts = mCounts.computeIfAbsent(outcome.server(), id -> new Counts());
                    counts.decay(nowNanos);
                    counts.mCalls += outcome.calls();
                    counts.mFailures += outcome.failures();
                    counts.mStated |= counts.mCalls >= MIN_CALLS;
                });
    }

    /** Returns the servers that fail a notable part of their calls. */
    public synchronized List<FailureRate> failing(long nowNanos) {
        mCounts.values().forEach(counts -> counts.decay(nowNanos));
        mCounts.values().removeIf(counts -> counts.mCalls < MIN_REMEMBERED_CALLS);
        return mCounts.entrySet().stream()
                .filter(e -> e.getValue().mStated)
                .map(e -> new FailureRate(e.getKey(), rate(e.getValue())))
                .filter(failing -> failing.rate() >= MIN_RATE)
                .toList();
    }

    private static double rate(Counts counts) {
        return counts.mFailures / counts.mCalls;
    }
}
