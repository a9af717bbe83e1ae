package org.fuchsiaford.host;

import java.util.HashMap;
import java.util.Map;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.host.PromiseReply.Outcome;

/**
 * The giver's side of serving leases: what the holder of a slot has learnt and therefore no longer
 * promises. Nothing is kept per promise, since a promise ends by time alone.
 *
 * <p>Invariants: the known generation and incarnations never fall; no promise is given for anything
 * older than what is known; no promise is given, and nothing acknowledged, while the giver's own
 * lease is not valid. The last one is what makes a superseded giver harmless. Thread-safe.
 */
public final class LeaseGrantor {
    private final Map<SlotId, Incarnation> mIncarnations = new HashMap<>();
    private Generation mGeneration;

    /**
     * Starts a book.
     *
     * @param generation the generation that the store showed after the giver's slot was claimed
     */
    public LeaseGrantor(Generation generation) {
        mGeneration = generation;
    }

    /**
     * Answers a request for a promise.
     *
     * @param ownLeaseValid whether the giver's own lease is valid now
     */
    public synchronized PromiseReply answer(PromiseRequest request, boolean ownLeaseValid) {
        return new PromiseReply(outcome(request.subject(), ownLeaseValid), mGeneration);
    }

    private Outcome outcome(LeaseSubject subject, boolean ownLeaseValid) {
        if (!ownLeaseValid) {
            return Outcome.MEMBER_NOT_SERVING;
        }
        if (subject.generation().isBefore(mGeneration)) {
            return Outcome.NEWER_GENERATION;
        }
        if (isSuperseded(subject)) {
            return Outcome.NEWER_INCARNATION;
        }
        learnGeneration(subject.generation());
        subject.heldSlot().ifPresent(slot -> learnIncarnation(slot, subject.incarnation()));
        return Outcome.GRANTED;
    }

    private boolean isSuperseded(LeaseSubject subject) {
        return subject.heldSlot()
                .map(mIncarnations::get)
                .filter(known -> subject.incarnation().compareTo(known) < 0)
                .isPresent();
    }

    /** Takes note of a generation. */
    public synchronized void observe(Generation generation) {
        learnGeneration(generation);
    }

    /** Takes note of the incarnation of a slot. */
    public synchronized void observe(SlotId slot, Incarnation incarnation) {
        learnIncarnation(slot, incarnation);
    }

    /** Returns the newest generation known. */
    public synchronized Generation generation() {
        return mGeneration;
    }

    private void learnGeneration(Generation generation) {
        if (mGeneration.isBefore(generation)) {
            mGeneration = generation;
        }
    }

    private void learnIncarnation(SlotId slot, Incarnation incarnation) {
        mIncarnations.merge(slot, incarnation, (a, b) -> a.compareTo(b) < 0 ? b : a);
    }
}
