package org.fuchsiaford.store;

import java.util.List;
import java.util.Optional;

/**
 * The result of one consistent read. Immutable.
 *
 * @param revision the store's revision at the read; a watch continues from the next one
 * @param entries the entries found, in order of key
 */
public record StoreSnapshot(long revision, List<StoreEntry> entries) {
    /** Returns the entry of a key, if there was one. */
    public Optional<StoreEntry> entry(StoreKey key) {
        return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
    }

    /** Returns the revision to name in a compare-and-swap of a key. */
    public long revisionOf(StoreKey key) {
        return entry(key).map(StoreEntry::revision).orElse(StoreEntry.ABSENT_REVISION);
    }
}
