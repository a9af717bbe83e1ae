package org.fuchsiaford.store;

import java.util.List;
import java.util.Optional;

/**
 * The result of one consistent read. Immutable.
 *
 * @param revision the store's revision at the read; a watch that follows starts at the next
 *     revision
 * @param entries the entries found; in the order of the keys requested, or in ascending order of
 *     key if read by prefix
 */
public record StoreSnapshot(long revision, List<StoreEntry> entries) {
    /** Returns the entry of a key, if the key exists. */
    public Optional<StoreEntry> entry(StoreKey key) {
        return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
    }

    /** Returns the revision to expect in a compare-and-swap of a key. */
    public long revisionOf(StoreKey key) {
        return entry(key).map(StoreEntry::revision).orElse(StoreEntry.ABSENT_REVISION);
    }
}
