package org.fuchsiaford.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The memory of a model engine in blocks: some held by requests, the rest used as a prefix cache
 * from which the least recently used block goes first.
 *
 * <p>Invariant: held and cached blocks together never exceed the capacity. Not thread-safe.
 */
public final class KvBlockManager {
    private final int mCapacity;
    private final Map<String, Integer> mAllocated = new HashMap<>();
    private final LinkedHashMap<Long, Boolean> mCached = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheChange> mCacheChanges = new ArrayList<>();
    private int mAllocatedBlocks;

    /** A change to the prefix cache. */
    public record CacheChange(long prefixHash, boolean stored) {}

    /** Creates an empty memory. */
    public KvBlockManager(int capacity) {
        mCapacity = capacity;
    }

    /** Holds blocks for a request; returns false, holding nothing, if there is no room. */
    public boolean allocate(String request, int blocks) {
        if (mAllocatedBlocks + blocks > mCapacity) {
            return false;
        }
        mAllocated.put(request, blocks);
        mAllocatedBlocks += blocks;
        evictTo(mCapacity - mAllocatedBlocks);
        return true;
    }

    /** Frees the blocks of a request. */
    public void release(String request) {
        Integer blocks = mAllocated.remove(request);
        if (blocks != null) {
            mAllocatedBlocks -= blocks;
        }
    }

    /** Returns how many leading blocks of a prompt are cached, and marks them as used. */
    public int cachedBlocks(long[] prefixHashes) {
        int count = 0;
        while (count < prefixHashes.length && mCached.get(prefixHashes[count]) != null) {
            count++;
        }
        return count;
    }

    /** Caches the blocks of a prompt as far as there is room. */
    public void cache(long[] prefixHashes) {
        for (long hash : prefixHashes) {
            if (mCached.put(hash, Boolean.TRUE) == null) {
                mCacheChanges.add(new CacheChange(hash, true));
            }
        }
        evictTo(mCapacity - mAllocatedBlocks);
    }

    private void evictTo(int blocks) {
        while (mCached.size() > blocks) {
            long eldest = mCached.keySet().iterator().next();
            mCached.remove(eldest);
            mCacheChanges.add(new CacheChange(eldest, false));
        }
    }

    /** Returns the blocks held by requests. */
    public int allocatedBlocks() {
        return mAllocatedBlocks;
    }

    /** Returns the blocks not held by requests. */
    public int freeBlocks() {
        return mCapacity - mAllocatedBlocks;
    }

    /** Returns the changes to the cache since the last call. */
    public List<CacheChange> takeCacheChanges() {
        List<CacheChange> changes = List.copyOf(mCacheChanges);
        mCacheChanges.clear();
        return changes;
    }
}
