package org.fuchsiaford.host;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks the end of all leases on something older: first a majority of each panel concerned must
 * acknowledge what is newer, then one lease term must pass. Accepting a bundle and taking over a
 * slot both wait on this.
 *
 * <p>Invariant: once over, it stays over. Thread-safe.
 */
public final class FencingWait {
    private final List<GrantorSet> mPanels;
    private final Set<SlotId> mAcknowledged = new HashSet<>();
    private long mDeadlineNanos;
    private boolean mInformed;

    /**
     * Starts a wait.
     *
     * @param panels the panels that must be informed
     * @param vacant the slots that nobody holds, which count as informed: whoever claims one reads
     *     the store after its claim
     * @param nowNanos the present time
     */
    public FencingWait(List<GrantorSet> panels, Collection<SlotId> vacant, long nowNanos) {
        mPanels = List.copyOf(panels);
        mAcknowledged.addAll(vacant);
        startTermIfInformed(nowNanos);
    }

    /** Records that the holder of a slot has acknowledged. */
    public synchronized void acknowledge(SlotId slot, long nowNanos) {
        mAcknowledged.add(slot);
        startTermIfInformed(nowNanos);
    }

    private void startTermIfInformed(long nowNanos) {
        boolean informed =
                mPanels.stream()
                        .allMatch(
                                panel ->
                                        panel.members().isEmpty()
                                                || panel.hasMajority(mAcknowledged));
        if (informed && !mInformed) {
            mInformed = true;
            mDeadlineNanos = nowNanos + LeaseTiming.FENCING_WAIT_NANOS;
        }
    }

    /** Returns whether the holder of a slot has acknowledged. */
    public synchronized boolean hasAcknowledged(SlotId slot) {
        return mAcknowledged.contains(slot);
    }

    /** Returns whether a majority of each panel is informed. */
    public synchronized boolean isAcknowledged() {
        return mInformed;
    }

    /** Returns whether no older lease can be valid any more. */
    public synchronized boolean isComplete(long nowNanos) {
        return mInformed && nowNanos - mDeadlineNanos >= 0;
    }

    /** Returns the time until it is over, in nanoseconds; meaningful once informed. */
    public synchronized long remainingNanos(long nowNanos) {
        return Math.max(mDeadlineNanos - nowNanos, 0);
    }
}
