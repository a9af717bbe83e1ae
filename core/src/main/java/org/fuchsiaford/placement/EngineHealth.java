package org.fuchsiaford.placement;

import java.util.concurrent.TimeUnit;

/**
 * Limits the load on an engine after failures. The engine gets no work during a backoff, which
 * doubles with each consecutive failure up to a limit. Then the usable fraction of its capacity
 * ramps up linearly, so that the full load does not return at once.
 *
 * <p>Not thread-safe.
 */
final class EngineHealth {
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    private static final long RAMP_UP_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double INITIAL_FRACTION = 0.25;

    private int mConsecutiveFailures;
    private boolean mRecovering;
    private long mBackoffEndNanos;

    void recordFailure(long nowNanos) {
        if (mRecovering && nowNanos - mBackoffEndNanos < 0) {
            // Failures of requests that were in flight when the engine failed are not new failures.
            return;
        }
        mBackoffEndNanos =
                nowNanos
                        + (INITIAL_BACKOFF_NANOS
                                << Math.min(mConsecutiveFailures, MAX_BACKOFF_DOUBLINGS));
        mConsecutiveFailures++;
        mRecovering = true;
    }

    void recordSuccess() {
        mConsecutiveFailures = 0;
    }

    /** Returns the fraction of the engine's capacity that may be used, from 0 to 1. */
    double usableFraction(long nowNanos) {
        if (!mRecovering) {
            return 1;
        }
        long sinceBackoffNanos = nowNanos - mBackoffEndNanos;
        if (sinceBackoffNanos < 0) {
            return 0;
        }
        if (sinceBackoffNanos >= RAMP_UP_NANOS) {
            mRecovering = false;
            return 1;
        }
        return INITIAL_FRACTION + (1 - INITIAL_FRACTION) * sinceBackoffNanos / RAMP_UP_NANOS;
    }
}
