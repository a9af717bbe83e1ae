package org.fuchsiaford.store;

/**
 * Identifies a lease of the store. Immutable.
 *
 * @param value the number that the store gave the lease; zero means no lease
 */
public record StoreLeaseId(long value) {
    /** No lease; a key written with it does not expire. */
    public static final StoreLeaseId NONE = new StoreLeaseId(0);
}
