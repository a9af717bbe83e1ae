package org.fuchsiaford.store;

/**
 * Identifies a lease of the store. A lease ends with the era in which it was granted, since a
 * restored store may assign its number again. Immutable.
 *
 * @param value the number that the store gave the lease; zero means no lease
 * @param era the era in which the store granted it, see {@link StoreRevision}
 */
public record StoreLeaseId(long value, long era) {
    /** No lease; a key written with it does not expire. */
    public static final StoreLeaseId NONE = new StoreLeaseId(0);

    /** Creates the identifier of a lease of a store that has never been restored. */
    public StoreLeaseId(long value) {
        this(value, StoreRevision.FIRST_ERA);
    }
}
