package org.fuchsiaford.entry.member;

import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.LeaseGrantor;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.HomeBuckets;

/**
 * A slot that this host holds, with the state that only its holder has. Immutable, but for book and
 * ledger, which are thread-safe.
 *
 * @param slot the slot
 * @param incarnation this host's incarnation
 * @param grantor what this host promises to other hosts
 * @param buckets the token buckets that this host accrues
 */
public record HeldSlot(
        SlotId slot, Incarnation incarnation, LeaseGrantor grantor, HomeBuckets buckets) {}
