package org.fuchsiaford.store;

/**
 * A key or key prefix in the platform's key-value service. Immutable.
 *
 * @param value the text of the key or prefix
 */
public record StoreKey(String value) {
    /** The prefix of all keys. */
    public static final StoreKey ALL = new StoreKey("");

    /** Creates a key. */
    public StoreKey {
        if (value == null) {
            throw new IllegalArgumentException("store key is null");
        }
    }

    /** Returns this prefix with a name appended; no separator is added. */
    public StoreKey append(String name) {
        return new StoreKey(value + name);
    }
}
