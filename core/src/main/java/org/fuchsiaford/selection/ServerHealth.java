package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.fleet.FailureRate;

/**
 * Recent failure rate and latency of each backend server, measured on the requests of this host;
 * the failure rate also on those of all hosts, as far as a coordinator reports it. Status checks
 * are not used, since they give false results in both directions.
 *
 * <p>Invariant: a failure rate lies between 0 and 1 and decays with time, so that a server which
 * gets no requests is tried again. Thread-safe.
 */
public final class ServerHealth {
    /** Half-life of the failure rate; a server gets a few requests in this time at light load. */
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Weight of the newest outcome in the moving averages. */
    private static final double SMOOTHING_FACTOR = 0.3;

    /**
     * With two doublings a server that stays down is tried about as often as its entry is checked.
     */
    private static final int MAX_DOUBLINGS = 2;

    /** Initial pause of an unreachable server; a restart takes at least this long. */
    private static final long UNREACHABLE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /**
     * Initial pause after the wrong server answered; an outdated registry is updated in this time.
     */
    private static final long WRONG_SERVER_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Age at which the rates of the fleet are out of date: a coordinator has sent none since. */
    private static final long FLEET_RATES_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Map<BackendServerId, ServerStats> mStats = new HashMap<>();
    private final Map<BackendServerId, Double> mFleetRates = new HashMap<>();
    private long mFleetRatesNanos;

    private static final class ServerStats {
        private double mFailureRate;
        private double mLatencyNanos;
        private long mUpdatedNanos;
        private long mPausedUntilNanos;
        private boolean mPaused;
        private int mDoublings;
    }

    /** Records a complete answer and its latency, and ends a pause. */
    public synchronized void recordSuccess(
            BackendServerId server, long latencyNanos, long nowNanos) {
        ServerStats stats = decayed(server, nowNanos);
        stats.mFailureRate *= 1 - SMOOTHING_FACTOR;
        stats.mLatencyNanos =
                stats.mLatencyNanos == 0
                        ? latencyNanos
                        : stats.mLatencyNanos * (1 - SMOOTHING_FACTOR)
                                + latencyNanos * SMOOTHING_FACTOR;
        stats.mPaused = false;
        stats.mDoublings = 0;
    }

    /** Records a failure. */
    public synchronized void recordFailure(BackendServerId server, long nowNanos) {
        ServerStats stats = decayed(server, nowNanos);
        stats.mFailureRate += (1 - stats.mFailureRate) * SMOOTHING_FACTOR;
    }

    /**
     * Records a failure and pauses the server: it gets no requests for a while if there is an
     * alternative. Each consecutive pause is twice as long as the one before, up to {@link
     * #MAX_DOUBLINGS} times. A failure during a pause does not extend it.
     *
     * @param initialPauseNanos duration of the first pause
     */
    public synchronized void pause(BackendServerId server, long initialPauseNanos, long nowNanos) {
        recordFailure(server, nowNanos);
        ServerStats stats = decayed(server, nowNanos);
        boolean startsPause = !stats.mPaused || nowNanos - stats.mPausedUntilNanos >= 0;
        if (startsPause) {
            stats.mPausedUntilNanos = nowNanos + (initialPauseNanos << stats.mDoublings);
            stats.mDoublings = Math.min(stats.mDoublings + 1, MAX_DOUBLINGS);
        }
        stats.mPaused = true;
    }

    /**
     * Records the outcome of a call.
     *
     * @param latencyNanos the duration of the call; only used if the server answered
     */
    public synchronized void recordOutcome(
            BackendServerId server, AttemptOutcome outcome, long latencyNanos, long nowNanos) {
        switch (outcome) {
            case ANSWERED -> recordSuccess(server, latencyNanos, nowNanos);
            case NOT_SENT -> pause(server, UNREACHABLE_PAUSE_NANOS, nowNanos);
            case WRONG_SERVER -> pause(server, WRONG_SERVER_PAUSE_NANOS, nowNanos);
            default -> recordFailure(server, nowNanos);
        }
    }

    /** Drops the statistics of a server, because it was restarted. */
    public synchronized void remove(BackendServerId server) {
        mStats.remove(server);
        mFleetRates.remove(server);
    }

    /** Returns whether the server is paused, that is, not to be used if there is an alternative. */
    public synchronized boolean isPaused(BackendServerId server, long nowNanos) {
        ServerStats stats = mStats.get(server);
        return stats != null && stats.mPaused && nowNanos - stats.mPausedUntilNanos < 0;
    }

    /** Replaces the failure rates over all hosts, as a coordinator states them. */
    public synchronized void replaceFleetRates(List<FailureRate> rates, long nowNanos) {
        mFleetRates.clear();
        rates.forEach(failing -> mFleetRates.put(failing.server(), failing.rate()));
        mFleetRatesNanos = nowNanos;
    }

    /**
     * Returns the recent failure rate, from 0 to 1: the higher one of this host's and the fleet's.
     */
    public synchronized double failureRate(BackendServerId server, long nowNanos) {
        double own = mStats.containsKey(server) ? decayed(server, nowNanos).mFailureRate : 0;
        boolean current = nowNanos - mFleetRatesNanos <= FLEET_RATES_TIMEOUT_NANOS;
        return Math.max(own, current ? mFleetRates.getOrDefault(server, 0.0) : 0);
    }

    /** Returns the recent latency of answers in nanoseconds, or zero if unknown. */
    public synchronized double latencyNanos(BackendServerId server, long nowNanos) {
        return mStats.containsKey(server) ? decayed(server, nowNanos).mLatencyNanos : 0;
    }

    private ServerStats decayed(BackendServerId server, long nowNanos) {
        ServerStats stats = mStats.computeIfAbsent(server, id -> new ServerStats());
        double halfLives = (double) (nowNanos - stats.mUpdatedNanos) / HALF_LIFE_NANOS;
        if (stats.mUpdatedNanos != 0 && halfLives > 0) {
            stats.mFailureRate *= Math.pow(2, -halfLives);
        }
        stats.mUpdatedNanos = nowNanos;
        return stats;
    }
}
