package org.fuchsiaford.entry.member;

import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.host.GrantorTable;
import org.fuchsiaford.host.ServingLease;

/**
 * A bundle and the lease that permits acting on it. Immutable, except for the lease, which is
 * thread-safe.
 *
 * @param head the bundle head
 * @param index the bundle with its lookup tables
 * @param grantorTable the grantor sets that follow from the bundle
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
