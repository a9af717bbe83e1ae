package org.fuchsiaford.bundle;

import org.fuchsiaford.host.SlotId;

/**
 * A slot that one entry host at a time may hold. Immutable.
 *
 * @param id the slot
 * @param failureDomain where its holder runs
 */
public record EntrySlot(SlotId id, FailureDomainId failureDomain) {}
