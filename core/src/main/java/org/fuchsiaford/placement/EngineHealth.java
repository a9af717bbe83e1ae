package org.fuchsiaford.placement;

import java.util.concurrent.TimeUnit;

/**
 * Whether an engine may get work, and how much, after a failure. It pauses, longer with each
 * failure in a row, and then gets a rising part of its capacity, so that the load does not come
 * back at once.
 *
 * <p>Not thread-safe.
 */
final class EngineHealth {
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final int MAX_DOUBLINGS = 4;
    private static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double FIRST_PART = 0.25;

    private int mFailuresInRow;
    private boolean mRamping;
    private long mPauseEndNanos;

    void fail(long nowNanos) {
        if (mRamping && nowNanos - mPauseEndNanos < 0) {
            // Requests that were under way when the engine failed tell nothing new.
            return;
        }
        mPauseEndNanos = nowNanos + (FIRST_PAUSE_NANOS << Math.min(mFailuresInRow, MAX_DOUBLINGS));
        mFailuresInRow++;
        mRamping = true;
    }

    void succeed() {
        mFailuresInRow = 0;
    }

    /** Returns the part of the engine's capacity that may be used, from zero to one. */
    double usablePart(long nowNanos) {
        if (!mRamping) {
            return 1;
        }
        long sincePauseNanos = nowNanos - mPauseEndNanos;
        if (sincePauseNanos < 0) {
            return 0;
        }
        if (sincePauseNanos >= RAMP_NANOS) {
            mRamping = false;
            return 1;
        }
        return FIRST_PART + (1 - FIRST_PART) * sincePauseNanos / RAMP_NANOS;
    }
}
