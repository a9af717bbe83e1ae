package org.fuchsiaford.store;

/**
 * A key with its value, as read. The array is not copied; nobody changes it.
 *
 * @param key the key
 * @param value the value
 * @param revision the store's revision of the last change to the key; a compare-and-swap names it
 */
public record StoreEntry(StoreKey key, byte[] value, long revision) {
    /** The revision of a key that does not exist. */
    public static final long ABSENT_REVISION = 0;
}
