package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;

/**
 * Recent failure rate and latency of each backend server, measured on the requests of this host.
 * Status checks are not used, since they give false results in both directions.
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

    private final Map<BackendServerId, Record> mRecords = new HashMap<>();

    private static final class Record {
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
        Record record = decayed(server, nowNanos);
        record.mFailureRate *= 1 - SMOOTHING_FACTOR;
        record.mLatencyNanos =
                record.mLatencyNanos == 0
                        ? latencyNanos
                        : record.mLatencyNanos * (1 - SMOOTHING_FACTOR)
                                + latencyNanos * SMOOTHING_FACTOR;
        record.mPaused = false;
        record.mDoublings = 0;
    }

    /** Records a failure. */
    public synchronized void recordFailure(BackendServerId server, long nowNanos) {
        Record record = decayed(server, nowNanos);
        record.mFailureRate += (1 - record.mFailureRate) * SMOOTHING_FACTOR;
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
        Record record = decayed(server, nowNanos);
        boolean startsPause = !record.mPaused || nowNanos - record.mPausedUntilNanos >= 0;
        if (startsPause) {
            record.mPausedUntilNanos = nowNanos + (initialPauseNanos << record.mDoublings);
            record.mDoublings = Math.min(record.mDoublings + 1, MAX_DOUBLINGS);
        }
        record.mPaused = true;
    }

    /** Drops the record of a server, because it was restarted. */
    public synchronized void remove(BackendServerId server) {
        mRecords.remove(server);
    }

    /** Returns whether the server is paused, that is, not to be used if there is an alternative. */
    public synchronized boolean isPaused(BackendServerId server, long nowNanos) {
        Record record = mRecords.get(server);
        return record != null && record.mPaused && nowNanos - record.mPausedUntilNanos < 0;
    }

    /** Returns the recent failure rate, from 0 to 1. */
    public synchronized double failureRate(BackendServerId server, long nowNanos) {
        return mRecords.containsKey(server) ? decayed(server, nowNanos).mFailureRate : 0;
    }

    /** Returns the recent latency of answers in nanoseconds, or zero if unknown. */
    public synchronized double latencyNanos(BackendServerId server, long nowNanos) {
        return mRecords.containsKey(server) ? decayed(server, nowNanos).mLatencyNanos : 0;
    }

    private Record decayed(BackendServerId server, long nowNanos) {
        Record record = mRecords.computeIfAbsent(server, id -> new Record());
        double halfLives = (double) (nowNanos - record.mUpdatedNanos) / HALF_LIFE_NANOS;
        if (record.mUpdatedNanos != 0 && halfLives > 0) {
            record.mFailureRate *= Math.pow(2, -halfLives);
        }
        record.mUpdatedNanos = nowNanos;
        return record;
    }
}
