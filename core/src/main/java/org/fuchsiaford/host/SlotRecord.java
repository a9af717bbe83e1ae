package org.fuchsiaford.host;

/**
 * The store's record of who holds a slot. It changes only by compare-and-swap.
 *
 * <p>Invariant: incarnations only rise. Immutable.
 *
 * @param slot the slot
 * @param incarnation the incarnation of its present or last holder
 * @param host the process that holds it
 * @param peerAddress where other hosts reach the holder, {@code ip:port}
 * @param callerAddress where callers reach the holder, {@code ip:port}
 * @param adminAddress where operators read status and metrics, {@code ip:port}
 * @param state whether somebody holds the slot
 */
public record SlotRecord(
        SlotId slot,
        Incarnation incarnation,
        HostId host,
        String peerAddress,
        String callerAddress,
        String adminAddress,
        State state) {

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

    /** Returns whether some host may act for the slot or is about to. */
    public boolean isOccupied() {
        return state != State.VACANT;
    }

    /** Returns this record in another state. */
    public SlotRecord withState(State next) {
        return new SlotRecord(
                slot, incarnation, host, peerAddress, callerAddress, adminAddress, next);
    }
}
