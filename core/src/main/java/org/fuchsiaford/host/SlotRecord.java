package org.fuchsiaford.host;

import java.util.Optional;

/**
 * The record of a slot's holder in the store. It is changed only by compare-and-swap.
 *
 * <p>Invariants: the incarnation never decreases; of all processes that ever held the slot, at most
 * one may still act on it, which is the holder or, while a claim is pending, the former holder.
 * Immutable.
 *
 * @param slot the slot
 * @param incarnation the incarnation of its current or last holder
 * @param host the process that holds it or held it last
 * @param peerAddress the holder's address for other hosts, {@code ip:port}
 * @param callerAddress the holder's address for callers, {@code ip:port}
 * @param adminAddress the holder's address for status and metrics, {@code ip:port}
 * @param state whether and how the slot is held
 * @param former in state {@code CLAIMED}, the former holder if it may still act; else null
 */
public record SlotRecord(
        SlotId slot,
        Incarnation incarnation,
        HostId host,
        String peerAddress,
        String callerAddress,
        String adminAddress,
        State state,
        HostProcess former) {

    /** Whether and how a slot is held. */
    public enum State {
        /** Claimed by a new holder; the former holder is not known to be fenced. */
        CLAIMED,
        /** Held; the former holder is fenced. */
        HELD,
        /** Held by a host that finishes its requests and accepts no new ones. */
        LEAVING,
        /** Released by its holder, or vacated after its holder was fenced. */
        VACANT
    }

    /** Returns whether a host holds or claims the slot. */
    public boolean isOccupied() {
        return state != State.VACANT;
    }

    /** Returns the process that may act on the slot according to this record, if any. */
    public Optional<HostProcess> activeProcess() {
        return switch (state) {
            case HELD, LEAVING -> Optional.of(new HostProcess(host, peerAddress));
            case CLAIMED -> Optional.ofNullable(former);
            case VACANT -> Optional.empty();
        };
    }

    /**
     * Returns this record in another state, without the former holder, which must be fenced by now.
     */
    public SlotRecord withState(State next) {
        return new SlotRecord(
                slot, incarnation, host, peerAddress, callerAddress, adminAddress, next, null);
    }

    /**
     * Returns this record as a pending claim.
     *
     * @param formerHolder the former holder if it may still act, else null
     */
    public SlotRecord asClaimFrom(HostProcess formerHolder) {
        return new SlotRecord(
                slot,
                incarnation,
                host,
                peerAddress,
                callerAddress,
                adminAddress,
                State.CLAIMED,
                formerHolder);
    }
}
