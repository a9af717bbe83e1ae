package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;

/**
 * How well each backend server has lately answered this host, from the outcomes of real requests;
 * status checks may be false either way.
 *
 * <p>Invariant: a rate lies between 0 and 1 and fades with time, so that a server which gets no
 * requests is tried again. Thread-safe.
 */
public final class ServerHealth {
    /** Half of what is known is forgotten in this time: a few trials at a light load. */
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Weight of the newest outcome. */
    private static final double NEWEST_WEIGHT = 0.3;

    /** A server that is away for long is tried about as often as its entry is checked. */
    private static final int MOST_DOUBLINGS = 2;

    private final Map<BackendServerId, Record> mRecords = new HashMap<>();

    private static final class Record {
        private double mFailureRate;
        private double mLatencyNanos;
        private long mUpdatedNanos;
        private long mPausedUntilNanos;
        private boolean mPaused;
        private int mPauses;
    }

    /** Notes a whole answer and how long it took. */
    public synchronized void recordSuccess(
            BackendServerId server, long latencyNanos, long nowNanos) {
        Record record = faded(server, nowNanos);
        record.mFailureRate *= 1 - NEWEST_WEIGHT;
        record.mLatencyNanos =
                record.mLatencyNanos == 0
                        ? latencyNanos
                        : record.mLatencyNanos * (1 - NEWEST_WEIGHT) + latencyNanos * NEWEST_WEIGHT;
        record.mPaused = false;
        record.mPauses = 0;
    }

    /** Notes a failure. */
    public synchronized void recordFailure(BackendServerId server, long nowNanos) {
        Record record = faded(server, nowNanos);
        record.mFailureRate += (1 - record.mFailureRate) * NEWEST_WEIGHT;
    }

    /**
     * Notes a failure after which the server gets nothing for a while if others are there; each
     * such failure in a row doubles the while, up to {@link #MOST_DOUBLINGS} times.
     */
    public synchronized void pause(BackendServerId server, long firstNanos, long nowNanos) {
        recordFailure(server, nowNanos);
        Record record = faded(server, nowNanos);
        boolean another = !record.mPaused || nowNanos - record.mPausedUntilNanos >= 0;
        if (another) {
            record.mPausedUntilNanos = nowNanos + (firstNanos << record.mPauses);
            record.mPauses = Math.min(record.mPauses + 1, MOST_DOUBLINGS);
        }
        record.mPaused = true;
    }

    /** Forgets a server, since another run of it has begun. */
    public synchronized void remove(BackendServerId server) {
        mRecords.remove(server);
    }

    /** Returns whether the server is to be passed over if others are there. */
    public synchronized boolean isPaused(BackendServerId server, long nowNanos) {
        Record record = mRecords.get(server);
        return record != null && record.mPaused && nowNanos - record.mPausedUntilNanos < 0;
    }

    /** Returns the recent part of failures, from 0 to 1. */
    public synchronized double failureRate(BackendServerId server, long nowNanos) {
        return mRecords.containsKey(server) ? faded(server, nowNanos).mFailureRate : 0;
    }

    /** Returns the recent time to an answer in nanoseconds, zero if not known. */
    public synchronized double latencyNanos(BackendServerId server, long nowNanos) {
        return mRecords.containsKey(server) ? faded(server, nowNanos).mLatencyNanos : 0;
    }

    private Record faded(BackendServerId server, long nowNanos) {
        Record record = mRecords.computeIfAbsent(server, id -> new Record());
        double lives = (double) (nowNanos - record.mUpdatedNanos) / HALF_LIFE_NANOS;
        if (record.mUpdatedNanos != 0 && lives > 0) {
            record.mFailureRate *= Math.pow(2, -lives);
        }
        record.mUpdatedNanos = nowNanos;
        return record;
    }
}
