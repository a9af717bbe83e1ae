package org.fuchsiaford.store;

/**
 * A key, or the prefix of a range of keys, of the platform's key-value service. Immutable.
 *
 * @param value the key
 */
public record StoreKey(String value) {
    /** The prefix of all keys. */
    public static final StoreKey ALL = new StoreKey("");

    /** Creates a key. */
    public StoreKey {
        if (value == null) {
            throw new IllegalArgumentException("StoreKey is null");
        }
    }

    /** Returns a key below this one. */
    public StoreKey child(String name) {
        return new StoreKey(value + name);
    }
}
