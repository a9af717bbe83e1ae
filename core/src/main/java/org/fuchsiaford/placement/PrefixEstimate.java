package org.fuchsiaford.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An estimate of the prefixes that one engine has in its cache: what was prefilled there lately,
 * corrected by cache events. Since events come late and with gaps, an entry is also dropped when
 * the engine's memory must have run out of room for it.
 *
 * <p>Invariant: holds at most as many pieces as the engine. Not thread-safe.
 */
final class PrefixEstimate {
    private final Map<Long, Boolean> mPieces;

    PrefixEstimate(int capacityPieces) {
        mPieces =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > capacityPieces;
                    }
                };
    }

    /** Returns how many leading pieces of a prompt are likely to be cached. */
    int cachedPieces(long[] prefixHashes) {
        int count = 0;
        while (count < prefixHashes.length && mPieces.containsKey(prefixHashes[count])) {
            count++;
        }
        return count;
    }

    /** Notes that a prompt has been placed on the engine. */
    void use(long[] prefixHashes) {
        for (long hash : prefixHashes) {
            mPieces.put(hash, Boolean.TRUE);
        }
    }

    void apply(EngineLoad.CacheEvent event) {
        if (event.stored()) {
            mPieces.put(event.prefixHash(), Boolean.TRUE);
        } else {
            mPieces.remove(event.prefixHash());
        }
    }

    void clear() {
        mPieces.clear();
    }
}
