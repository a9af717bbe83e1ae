package org.fuchsiaford.host;

import java.util.Optional;

/**
 * The store's record of who holds a slot. It changes only by compare-and-swap.
 *
 * <p>Invariants: incarnations only rise; of all processes that ever held the slot at most one may
 * still act on it, which is the holder or, while a claim is under way, the former holder.
 * Immutable.
 *
 * @param slot the slot
 * @param incarnation the incarnation of its present or last holder
 * @param host the process that holds it
 * @param peerAddress where other hosts reach the holder, {@code ip:port}
 * @param callerAddress where callers reach the holder, {@code ip:port}
 * @param adminAddress where operators read status and metrics, {@code ip:port}
 * @param state whether somebody holds the slot
 * @param former while claimed, the holder before that may still act; else null
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

    /** Whether somebody holds a slot. */
    public enum State {
        /** Claimed; the holder before may still act. */
        CLAIMED,
        /** Held; the holder before is fenced. */
        HELD,
        /** Held by a host that finishes its work and takes no more. */
        LEAVING,
        /** Given up by its holder, or vacated after its holder was fenced. */
        VACANT
    }

    /** Returns whether some host holds the slot or is about to. */
    public boolean isOccupied() {
        return state != State.VACANT;
    }

    /** Returns the one process that may act on the slot by this record, if there is one. */
    public Optional<HostProcess> activeProcess() {
        return switch (state) {
            case HELD, LEAVING -> Optional.of(new HostProcess(host, peerAddress));
            case CLAIMED -> Optional.ofNullable(former);
            case VACANT -> Optional.empty();
        };
    }

    /** Returns this record in another state, with the former holder fenced. */
    public SlotRecord withState(State next) {
        return new SlotRecord(
                slot, incarnation, host, peerAddress, callerAddress, adminAddress, next, null);
    }

    /** Returns this record as a claim over a holder that may still act. */
    public SlotRecord asClaimFrom(HostProcess holder) {
        return new SlotRecord(
                slot,
                incarnation,
                host,
                peerAddress,
                callerAddress,
                adminAddress,
                State.CLAIMED,
                holder);
    }
}
