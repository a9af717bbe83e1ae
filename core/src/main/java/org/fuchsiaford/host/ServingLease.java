package org.fuchsiaford.host;

import java.util.HashMap;
import java.util.Map;

/**
 * The holder's side of a serving lease. A host may act on the lease's subject if the store or a
 * majority of the grantors has confirmed it within the last {@link LeaseTiming#TERM_NANOS}. A term
 * starts when the holder sent its request, which is never later than when the other side answered.
 *
 * <p>Invariant: the deadline never moves back. An expired lease can become valid again by a new
 * confirmation of the same subject, because the confirmation proves that the subject has not been
 * fenced. Thread-safe.
 */
public final class ServingLease {
    private final LeaseSubject mSubject;
    private final GrantorSet mGrantors;
    private final Map<SlotId, Long> mSentNanosByGrantor = new HashMap<>();
    private long mDeadlineNanos;
    private boolean mConfirmed;

    /** Creates a lease that is not valid until it is confirmed. */
    public ServingLease(LeaseSubject subject, GrantorSet grantors) {
        mSubject = subject;
        mGrantors = grantors;
    }

    /** Returns the subject of the lease. */
    public LeaseSubject subject() {
        return mSubject;
    }

    /** Returns the slots whose promises count. */
    public GrantorSet grantors() {
        return mGrantors;
    }

    /**
     * Records that the store showed the subject to be current.
     *
     * @param sentNanos when the read was sent
     */
    public synchronized void confirmByStore(long sentNanos) {
        extend(sentNanos);
    }

    /**
     * Records a promise for the subject.
     *
     * @param grantor the slot that gave the promise; ignored unless in the grantor set
     * @param sentNanos when the request was sent
     */
    public synchronized void confirmByGrantor(SlotId grantor, long sentNanos) {
        if (!mGrantors.members().contains(grantor)) {
            return;
        }
        mSentNanosByGrantor.merge(grantor, sentNanos, (a, b) -> a - b > 0 ? a : b);
        if (mGrantors.hasMajority(mSentNanosByGrantor.keySet())) {
            extend(majoritySentNanos());
        }
    }

    /** Returns the latest time at or after which requests to a majority were sent. */
    private long majoritySentNanos() {
        return mSentNanosByGrantor.values().stream()
                .sorted((a, b) -> Long.signum(b - a))
                .skip(mGrantors.majority() - 1L)
                .findFirst()
                .orElseThrow();
    }

    private void extend(long sentNanos) {
        long deadlineNanos = sentNanos + LeaseTiming.TERM_NANOS;
        if (!mConfirmed || deadlineNanos - mDeadlineNanos > 0) {
            mDeadlineNanos = deadlineNanos;
            mConfirmed = true;
        }
    }

    /** Returns whether the lease is valid at the given time. */
    public synchronized boolean isValid(long nowNanos) {
        return mConfirmed && nowNanos - mDeadlineNanos < 0;
    }

    /** Returns the remaining validity in nanoseconds; zero if the lease is not valid. */
    public synchronized long remainingNanos(long nowNanos) {
        return mConfirmed ? Math.max(mDeadlineNanos - nowNanos, 0) : 0;
    }
}
