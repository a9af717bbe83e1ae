package org.fuchsiaford.store;

/**
 * A change to a key, reported by a watch.
 *
 * @param key the key
 * @param value the new value, or null if the key was deleted
 * @param revision the store's revision of the change
 */
public record StoreChange(StoreKey key, byte[] value, long revision) {
    /** Returns whether the key was deleted. */
    public boolean isDeletion() {
        return value == null;
    }
}
