package org.fuchsiaford.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An estimate of the contents of an engine's prefix cache: prompts recently prefilled there,
 * corrected by cache events. As events are delayed and may be lost, the least recently used entries
 * are also evicted once the estimate exceeds the number of blocks of the engine.
 *
 * <p>Invariant: contains at most as many blocks as the engine has. Not thread-safe.
 */
final class PrefixCacheEstimate {
    private final Map<Long, Boolean> mBlocks;

    PrefixCacheEstimate(int capacityBlocks) {
        mBlocks =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > capacityBlocks;
                    }
                };
    }

    /** Returns the number of leading blocks of a prompt that are probably cached. */
    int cachedBlocks(long[] prefixHashes) {
        int count = 0;
        while (count < prefixHashes.length && mBlocks.containsKey(prefixHashes[count])) {
            count++;
        }
        return count;
    }

    /** Adds the blocks of a prompt that was placed on the engine. */
    void addPrompt(long[] prefixHashes) {
        for (long hash : prefixHashes) {
            mBlocks.put(hash, Boolean.TRUE);
        }
    }

    void apply(EngineLoad.CacheEvent event) {
        if (event.stored()) {
            mBlocks.put(event.prefixHash(), Boolean.TRUE);
        } else {
            mBlocks.remove(event.prefixHash());
        }
    }

    void clear() {
        mBlocks.clear();
    }
}
