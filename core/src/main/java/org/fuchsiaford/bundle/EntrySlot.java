package org.fuchsiaford.bundle;

import org.fuchsiaford.host.SlotId;

/**
 * A slot that at most one entry host holds at a time. Immutable.
 *
 * @param id the ID of the slot
 * @param failureDomain the failure domain in which the holder must run
 */
public record EntrySlot(SlotId id, FailureDomainId failureDomain) {}
