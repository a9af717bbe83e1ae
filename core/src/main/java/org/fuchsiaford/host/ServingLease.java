package org.fuchsiaford.host;

import java.util.HashMap;
import java.util.Map;

/**
 * The holder's side of a serving lease. A host may act on its subject while, within the last term,
 * either the store itself or a majority of the panel has confirmed it. A confirmation counts from
 * when the holder asked, which is no later than when the other side answered.
 *
 * <p>Invariant: the deadline never moves back. A lease once lapsed may become valid again through a
 * new confirmation of the same subject, since a confirmation proves that nobody has fenced it.
 * Thread-safe.
 */
public final class ServingLease {
    private final LeaseSubject mSubject;
    private final GrantorSet mGrantors;
    private final Map<SlotId, Long> mAskedNanos = new HashMap<>();
    private long mDeadlineNanos;
    private boolean mConfirmed;

    /** Creates a lease that is not valid yet. */
    public ServingLease(LeaseSubject subject, GrantorSet grantors) {
        mSubject = subject;
        mGrantors = grantors;
    }

    /** Returns what the lease is for. */
    public LeaseSubject subject() {
        return mSubject;
    }

    /** Returns the panel whose promises count. */
    public GrantorSet grantors() {
        return mGrantors;
    }

    /**
     * Records that the store showed the subject to be current.
     *
     * @param askedNanos when the read was sent
     */
    public synchronized void confirmByStore(long askedNanos) {
        extend(askedNanos);
    }

    /**
     * Records a promise for the subject.
     *
     * @param member who promised; ignored unless a member of the panel
     * @param askedNanos when the request was sent
     */
    public synchronized void confirmByGrantor(SlotId member, long askedNanos) {
        if (!mGrantors.members().contains(member)) {
            return;
        }
        mAskedNanos.merge(member, askedNanos, (a, b) -> a - b > 0 ? a : b);
        if (mGrantors.hasMajority(mAskedNanos.keySet())) {
            extend(majorityAskedNanos());
        }
    }

    private long majorityAskedNanos() {
        return mAskedNanos.values().stream()
                .sorted((a, b) -> Long.signum(b - a))
                .skip(mGrantors.majority() - 1L)
                .findFirst()
                .orElseThrow();
    }

    private void extend(long askedNanos) {
        long deadlineNanos = askedNanos + LeaseTiming.TERM_NANOS;
        if (!mConfirmed || deadlineNanos - mDeadlineNanos > 0) {
            mDeadlineNanos = deadlineNanos;
            mConfirmed = true;
        }
    }

    /** Returns whether the holder may act at the given time. */
    public synchronized boolean isValid(long nowNanos) {
        return mConfirmed && nowNanos - mDeadlineNanos < 0;
    }

    /** Returns how long the lease is still valid, in nanoseconds; zero if it is not. */
    public synchronized long remainingNanos(long nowNanos) {
        return mConfirmed ? Math.max(mDeadlineNanos - nowNanos, 0) : 0;
    }
}
