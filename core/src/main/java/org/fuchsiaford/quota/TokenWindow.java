package org.fuchsiaford.quota;

import java.util.function.LongToDoubleFunction;

/**
 * The tokens admitted for one workspace in a sliding window, counted in slots. Not thread-safe.
 *
 * <p>Invariant: the sum covers at least the window and at most one slot more.
 */
final class TokenWindow {
    /** Slots in a window: a refused request waits at most one slot longer than necessary. */
    private static final int SLOTS = 80;

    private final long[] mSlots = new long[SLOTS + 1];
    private final long mSlotNanos;
    private long mLatestSlot;
    private long mSum;

    /** Creates an empty window of the given length. */
    TokenWindow(long windowNanos) {
        mSlotNanos = windowNanos / SLOTS;
    }

    /** Adds tokens; a negative number takes tokens back. */
    void add(long tokens, long nowNanos) {
        advance(nowNanos);
        mSlots[index(mLatestSlot)] += tokens;
        mSum += tokens;
    }

    /** Returns the tokens in the window that ends now. */
    long sum(long nowNanos) {
        advance(nowNanos);
        return mSum;
    }

    /**
     * Returns the time until the window holds at most the number of tokens that is allowed then, if
     * none are added; about the length of the window if it never does.
     *
     * @param maxTokens the tokens allowed after a time in nanoseconds
     */
    long nanosUntilAtMost(LongToDoubleFunction maxTokens, long nowNanos) {
        advance(nowNanos);
        long remaining = mSum;
        for (int slot = 0; slot <= SLOTS; slot++) {
            if (remaining <= maxTokens.applyAsDouble(slot * mSlotNanos)) {
                return slot * mSlotNanos;
            }
            remaining -= mSlots[index(mLatestSlot - SLOTS + slot)];
        }
        return (SLOTS + 1) * mSlotNanos;
    }

    private void advance(long nowNanos) {
        long slot = Math.floorDiv(nowNanos, mSlotNanos);
        long steps = Math.min(slot - mLatestSlot, mSlots.length);
        for (long step = steps - 1; step >= 0; step--) {
            int index = index(slot - step);
            mSum -= mSlots[index];
            mSlots[index] = 0;
        }
        mLatestSlot = Math.max(mLatestSlot, slot);
    }

    private int index(long slot) {
        return (int) Math.floorMod(slot, (long) mSlots.length);
    }
}
