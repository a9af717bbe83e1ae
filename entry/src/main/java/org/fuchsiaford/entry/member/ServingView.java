package org.fuchsiaford.entry.member;

import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.host.GrantorTable;
import org.fuchsiaford.host.ServingLease;

/**
 * What a host acts on: a bundle and the lease for it. Immutable, but for the lease, which is
 * thread-safe.
 *
 * @param head the head record
 * @param index the bundle
 * @param grantorTable the panels that the bundle gives
 * @param lease the lease for the head's generation
 */
public record ServingView(
        BundleHead head, BundleIndex index, GrantorTable grantorTable, ServingLease lease) {

    /** Returns the same view with another lease. */
    public ServingView withLease(ServingLease other) {
        return new ServingView(head, index, grantorTable, other);
    }

    /** Returns the same view with the head marked as accepted. */
    public ServingView asAccepted() {
        return new ServingView(head.asAccepted(), index, grantorTable, lease);
    }
}
