package org.fuchsiaford.entry.member;

import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;

/**
 * Who and where this host is. Immutable.
 *
 * @param host the id of this process
 * @param failureDomain where it runs
 * @param peerAddress where other hosts reach it
 * @param callerAddress where callers reach it
 * @param adminAddress where operators reach it
 */
public record HostAddresses(
        HostId host,
        FailureDomainId failureDomain,
        String peerAddress,
        String callerAddress,
        String adminAddress) {

    /** Returns the record of a slot with this host as its holder. */
    public SlotRecord slotRecord(SlotId slot, Incarnation incarnation, SlotRecord.State state) {
        return new SlotRecord(
                slot, incarnation, host, peerAddress, callerAddress, adminAddress, state, null);
    }
}
