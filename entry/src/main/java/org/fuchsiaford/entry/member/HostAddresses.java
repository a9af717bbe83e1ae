package org.fuchsiaford.entry.member;

import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;

/**
 * The identity and the addresses of this host. Immutable.
 *
 * @param host the ID of this process
 * @param failureDomain the failure domain that it runs in
 * @param peerAddress its address for other hosts, {@code ip:port}
 * @param callerAddress its address for callers, {@code ip:port}
 * @param adminAddress its address for status and metrics, {@code ip:port}
 */
public record HostAddresses(
        HostId host,
        FailureDomainId failureDomain,
        String peerAddress,
        String callerAddress,
        String adminAddress) {

    /** Returns a record of a slot that names this host as the holder. */
    public SlotRecord slotRecord(SlotId slot, Incarnation incarnation, SlotRecord.State state) {
        return new SlotRecord(
                slot, incarnation, host, peerAddress, callerAddress, adminAddress, state, null);
    }
}
