package org.fuchsiaford.host;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks when all leases on an outdated generation or incarnation have expired: a majority of each
 * grantor set involved must acknowledge the newer one, and then {@link
 * LeaseTiming#FENCING_WAIT_NANOS} must pass. Used to accept a bundle and to take over a slot.
 *
 * <p>Invariant: once complete, a wait stays complete. Thread-safe.
 */
public final class FencingWait {
    private final List<GrantorSet> mGrantorSets;
    private final Set<SlotId> mAcknowledged = new HashSet<>();
    private long mDeadlineNanos;
    private boolean mMajoritiesAcknowledged;

    /**
     * Starts a wait.
     *
     * @param grantorSets the grantor sets of which a majority must acknowledge
     * @param vacant the slots without a holder, which count as acknowledged because whoever claims
     *     one reads the store after its claim
     * @param nowNanos the current time
     */
    public FencingWait(List<GrantorSet> grantorSets, Collection<SlotId> vacant, long nowNanos) {
        mGrantorSets = List.copyOf(grantorSets);
        mAcknowledged.addAll(vacant);
        startTimerOnMajorities(nowNanos);
    }

    /** Records an acknowledgement by the holder of a slot. */
    public synchronized void acknowledge(SlotId slot, long nowNanos) {
        mAcknowledged.add(slot);
        startTimerOnMajorities(nowNanos);
    }

    private void startTimerOnMajorities(long nowNanos) {
        boolean acknowledged =
                mGrantorSets.stream()
                        .allMatch(set -> set.members().isEmpty() || set.hasMajority(mAcknowledged));
        if (acknowledged && !mMajoritiesAcknowledged) {
            mMajoritiesAcknowledged = true;
            mDeadlineNanos = nowNanos + LeaseTiming.FENCING_WAIT_NANOS;
        }
    }

    /** Returns whether the holder of a slot has acknowledged. */
    public synchronized boolean hasAcknowledged(SlotId slot) {
        return mAcknowledged.contains(slot);
    }

    /** Returns whether a majority of each grantor set has acknowledged. */
    public synchronized boolean isAcknowledgedByMajorities() {
        return mMajoritiesAcknowledged;
    }

    /** Returns whether all outdated leases have expired. */
    public synchronized boolean isComplete(long nowNanos) {
        return mMajoritiesAcknowledged && nowNanos - mDeadlineNanos >= 0;
    }

    /**
     * Returns the time until the wait is complete, in nanoseconds; undefined before {@link
     * #isAcknowledgedByMajorities}.
     */
    public synchronized long remainingNanos(long nowNanos) {
        return Math.max(mDeadlineNanos - nowNanos, 0);
    }
}
