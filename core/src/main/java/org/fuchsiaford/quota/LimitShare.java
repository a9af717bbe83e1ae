package org.fuchsiaford.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The share of the rate limits that one host may grant, and how much of it counts as used by hosts
 * that it has not heard from. Not thread-safe.
 *
 * <p>Invariant: whatever is added to the share counts as used up at first, since another host may
 * have granted it, and becomes free evenly over one window. Only of the first share a small part is
 * free at once.
 */
final class LimitShare {
    /**
     * Part of the first share that is free at once, so that a started host can admit a request: no
     * more than the tolerance of the limits.
     */
    private static final double INITIAL_FREE_FRACTION = 0.1;

    private final long mWindowNanos;
    private final Deque<Addition> mAdditions = new ArrayDeque<>();
    private double mShare;
    private boolean mHasShare;

    private record Addition(double share, long sinceNanos) {}

    LimitShare(long windowNanos) {
        mWindowNanos = windowNanos;
    }

    /** Sets the share, from 0 to 1. */
    void set(double share, long nowNanos) {
        removeFree(nowNanos);
        if (share > mShare) {
            double usedFraction = mHasShare ? 1 : 1 - INITIAL_FREE_FRACTION;
            mAdditions.addLast(new Addition((share - mShare) * usedFraction, nowNanos));
            mHasShare = true;
        }
        mShare = share;
    }

    double share() {
        return mShare;
    }

    /** Returns the part of the limits that may be granted now, without what is in the window. */
    double free(long nowNanos) {
        removeFree(nowNanos);
        double used =
                mAdditions.stream()
                        .mapToDouble(
                                added ->
                                        added.share()
                                                * (1
                                                        - (double) (nowNanos - added.sinceNanos())
                                                                / mWindowNanos))
                        .sum();
        return Math.max(0, mShare - used);
    }

    private void removeFree(long nowNanos) {
        while (!mAdditions.isEmpty()
                && nowNanos - mAdditions.peekFirst().sinceNanos() >= mWindowNanos) {
            mAdditions.removeFirst();
        }
    }
}
