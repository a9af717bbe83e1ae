package org.fuchsiaford.entry.member;

import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.LeaseGrantor;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.HomeBuckets;

/**
 * A slot that this host holds, with the state that only its holder keeps. Immutable, except for the
 * grantor and the buckets, which are thread-safe.
 *
 * @param slot the slot
 * @param incarnation this host's incarnation
 * @param grantor grants leases to other hosts on behalf of the slot
 * @param buckets the token buckets of the workspaces that have a home at the slot
 */
public record HeldSlot(
        SlotId slot, Incarnation incarnation, LeaseGrantor grantor, HomeBuckets buckets) {}
