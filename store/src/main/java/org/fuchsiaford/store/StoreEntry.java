package org.fuchsiaford.store;

/**
 * A key with its value, as read. The array is not copied and must not be modified.
 *
 * @param key the key
 * @param value the value
 * @param revision the store's revision of the last change to the key, which a compare-and-swap
 *     expects
 */
public record StoreEntry(StoreKey key, byte[] value, long revision) {
    /** The revision of a key that does not exist. */
    public static final long ABSENT_REVISION = 0;
}
