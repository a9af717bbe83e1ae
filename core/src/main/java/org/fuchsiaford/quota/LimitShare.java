package org.fuchsiaford.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The share of the rate limits that one host may grant, and how much of it counts as used by
 * processes that this host cannot hear from any more. Not thread-safe.
 *
 * <p>Invariant: a part that counts as used becomes free evenly until the end of the window in which
 * it may have been used.
 */
final class LimitShare {
    /**
     * Part of an unknown use that is free at once, so that a started fleet can admit requests: no
     * more than the tolerance of the limits.
     */
    private static final double INITIAL_FREE_FRACTION = 0.1;

    private final long mWindowNanos;
    private final Deque<Long> mUnknownUntilNanos = new ArrayDeque<>();
    private int mGrantingHosts;
    private int mPresentHosts = 1;

    LimitShare(long windowNanos) {
        mWindowNanos = windowNanos;
    }

    /**
     * Sets the share.
     *
     * @param grantingHosts the hosts for which this host decides, or zero
     * @param presentHosts the hosts that share the limits
     */
    void set(int grantingHosts, int presentHosts) {
        mGrantingHosts = grantingHosts;
        mPresentHosts = Math.max(1, Math.max(grantingHosts, presentHosts));
    }

    /** Returns the share, from 0 to 1. */
    double share() {
        return (double) mGrantingHosts / mPresentHosts;
    }

    /** Counts the part of one host as used in the window that ended at the given time. */
    void addUnknownUse(long untilNanos) {
        mUnknownUntilNanos.addLast(untilNanos);
    }

    /** Returns the part of the limits that may be used at a time, in the window before it. */
    double free(long timeNanos) {
        double usedHosts =
                mUnknownUntilNanos.stream()
                        .mapToDouble(untilNanos -> usedFraction(untilNanos, timeNanos))
                        .sum();
        return Math.max(0, share() - usedHosts / mPresentHosts);
    }

    private double usedFraction(long untilNanos, long timeNanos) {
        double age = (double) (timeNanos - untilNanos) / mWindowNanos;
        return (1 - INITIAL_FREE_FRACTION) * Math.max(0, Math.min(1, 1 - age));
    }

    /** Forgets what has become free. */
    void removeFree(long nowNanos) {
        mUnknownUntilNanos.removeIf(untilNanos -> nowNanos - untilNanos >= mWindowNanos);
    }
}
