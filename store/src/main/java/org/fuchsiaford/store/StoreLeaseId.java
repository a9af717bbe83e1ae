package org.fuchsiaford.store;

/**
 * Identifies a lease of the store. Immutable.
 *
 * @param value the store's number of the lease; zero stands for no lease
 */
public record StoreLeaseId(long value) {
    /** Attaches a key to no lease. */
    public static final StoreLeaseId NONE = new StoreLeaseId(0);
}
