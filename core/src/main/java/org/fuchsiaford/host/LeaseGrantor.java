package org.fuchsiaford.host;

import java.util.HashMap;
import java.util.Map;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.host.PromiseReply.Outcome;

/**
 * The granting side of serving leases, at a host that holds a slot: keeps the newest generation,
 * and the newest incarnation of each slot, that this host knows of, and refuses promises for
 * anything older. It keeps no state per promise, since promises end only by expiry.
 *
 * <p>Invariants: the known generation and incarnations never decrease; no promise is given for a
 * generation or incarnation older than the known one; no promise is given and no announcement
 * acknowledged while the grantor's own lease is not valid. The last invariant keeps a superseded
 * grantor from doing harm. Thread-safe.
 */
public final class LeaseGrantor {
    private final Map<SlotId, Incarnation> mIncarnations = new HashMap<>();
    private Generation mGeneration;

    /**
     * Creates a grantor.
     *
     * @param generation the generation read from the store after the grantor claimed its slot
     */
    public LeaseGrantor(Generation generation) {
        mGeneration = generation;
    }

    /**
     * Answers a request for a promise.
     *
     * @param ownLeaseValid whether the grantor's own lease is currently valid
     */
    public synchronized PromiseReply answer(PromiseRequest request, boolean ownLeaseValid) {
        return new PromiseReply(decide(request.subject(), ownLeaseValid), mGeneration);
    }

    private Outcome decide(LeaseSubject subject, boolean ownLeaseValid) {
        if (!ownLeaseValid) {
            return Outcome.MEMBER_NOT_SERVING;
        }
        if (subject.generation().isBefore(mGeneration)) {
            return Outcome.NEWER_GENERATION;
        }
        if (isSuperseded(subject)) {
            return Outcome.NEWER_INCARNATION;
        }
        updateGeneration(subject.generation());
        subject.heldSlot().ifPresent(slot -> updateIncarnation(slot, subject.incarnation()));
        return Outcome.GRANTED;
    }

    private boolean isSuperseded(LeaseSubject subject) {
        return subject.heldSlot()
                .map(mIncarnations::get)
                .filter(known -> subject.incarnation().compareTo(known) < 0)
                .isPresent();
    }

    /** Records a generation; ignored if a newer one is known. */
    public synchronized void observe(Generation generation) {
        updateGeneration(generation);
    }

    /** Records an incarnation of a slot; ignored if a newer one is known. */
    public synchronized void observe(SlotId slot, Incarnation incarnation) {
        updateIncarnation(slot, incarnation);
    }

    /** Returns the newest known generation. */
    public synchronized Generation generation() {
        return mGeneration;
    }

    private void updateGeneration(Generation generation) {
        if (mGeneration.isBefore(generation)) {
            mGeneration = generation;
        }
    }

    private void updateIncarnation(SlotId slot, Incarnation incarnation) {
        mIncarnations.merge(slot, incarnation, (a, b) -> a.compareTo(b) < 0 ? b : a);
    }
}
