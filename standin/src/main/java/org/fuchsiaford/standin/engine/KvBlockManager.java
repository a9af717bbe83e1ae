package org.fuchsiaford.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The KV cache blocks of a model engine. Blocks that are not allocated to requests serve as a
 * prefix cache with LRU eviction. Not thread-safe.
 *
 * <p>Invariant: allocated and cached blocks together never exceed the capacity.
 */
public final class KvBlockManager {
    private final int mCapacity;
    private final Map<String, Integer> mAllocated = new HashMap<>();
    private final LinkedHashMap<Long, Boolean> mCached = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheChange> mCacheChanges = new ArrayList<>();
    private int mAllocatedBlocks;

    /**
     * A change to the prefix cache.
     *
     * @param prefixHash the hash of the prompt up to the end of the block
     * @param stored true if the block was stored, false if it was evicted
     */
    public record CacheChange(long prefixHash, boolean stored) {}

    /**
     * Creates a manager whose blocks are all free.
     *
     * @param capacity the number of blocks
     */
    public KvBlockManager(int capacity) {
        mCapacity = capacity;
    }

    /** Allocates blocks to a request; returns false, allocating none, if too few are free. */
    public boolean allocate(String request, int blocks) {
        if (mAllocatedBlocks + blocks > mCapacity) {
            return false;
        }
        mAllocated.put(request, blocks);
        mAllocatedBlocks += blocks;
        evictTo(mCapacity - mAllocatedBlocks);
        return true;
    }

    /** Releases the blocks of a request, if it has any. */
    public void release(String request) {
        Integer blocks = mAllocated.remove(request);
        if (blocks != null) {
            mAllocatedBlocks -= blocks;
        }
    }

    /** Returns the number of leading blocks of a prompt that are cached and marks them as used. */
    public int cachedBlocks(long[] prefixHashes) {
        int count = 0;
        while (count < prefixHashes.length && mCached.get(prefixHashes[count]) != null) {
            count++;
        }
        return count;
    }

    /** Caches the blocks of a prompt, evicting the least recently used blocks if needed. */
    public void cache(long[] prefixHashes) {
        for (long hash : prefixHashes) {
            if (mCached.put(hash, Boolean.TRUE) == null) {
                mCacheChanges.add(new CacheChange(hash, true));
            }
        }
        evictTo(mCapacity - mAllocatedBlocks);
    }

    private void evictTo(int maxCachedBlocks) {
        while (mCached.size() > maxCachedBlocks) {
            long eldest = mCached.keySet().iterator().next();
            mCached.remove(eldest);
            mCacheChanges.add(new CacheChange(eldest, false));
        }
    }

    /** Returns the number of blocks allocated to requests. */
    public int allocatedBlocks() {
        return mAllocatedBlocks;
    }

    /** Returns the number of blocks not allocated to requests, including cached blocks. */
    public int freeBlocks() {
        return mCapacity - mAllocatedBlocks;
    }

    /** Returns the changes to the prefix cache since the last call. */
    public List<CacheChange> takeCacheChanges() {
        List<CacheChange> changes = List.copyOf(mCacheChanges);
        mCacheChanges.clear();
        return changes;
    }
}
