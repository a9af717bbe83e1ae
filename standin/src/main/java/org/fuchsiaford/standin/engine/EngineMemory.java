package org.fuchsiaford.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The memory of a model engine in pieces: some held by requests, the rest used as a prefix cache
 * from which the least recently used piece goes first.
 *
 * <p>Invariant: held and cached pieces together never exceed the capacity. Not thread-safe.
 */
public final class EngineMemory {
    private final int mCapacity;
    private final Map<String, Integer> mHeld = new HashMap<>();
    private final LinkedHashMap<Long, Boolean> mCached = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Change> mChanges = new ArrayList<>();
    private int mHeldPieces;

    /** A change to the prefix cache. */
    public record Change(long prefixHash, boolean stored) {}

    /** Creates an empty memory. */
    public EngineMemory(int capacity) {
        mCapacity = capacity;
    }

    /** Holds pieces for a request; returns false, holding nothing, if there is no room. */
    public boolean hold(String request, int pieces) {
        if (mHeldPieces + pieces > mCapacity) {
            return false;
        }
        mHeld.put(request, pieces);
        mHeldPieces += pieces;
        evictTo(mCapacity - mHeldPieces);
        return true;
    }

    /** Frees the pieces of a request. */
    public void release(String request) {
        Integer pieces = mHeld.remove(request);
        if (pieces != null) {
            mHeldPieces -= pieces;
        }
    }

    /** Returns how many leading pieces of a prompt are cached, and marks them as used. */
    public int cachedPieces(long[] prefixHashes) {
        int count = 0;
        while (count < prefixHashes.length && mCached.get(prefixHashes[count]) != null) {
            count++;
        }
        return count;
    }

    /** Caches the pieces of a prompt as far as there is room. */
    public void store(long[] prefixHashes) {
        for (long hash : prefixHashes) {
            if (mCached.put(hash, Boolean.TRUE) == null) {
                mChanges.add(new Change(hash, true));
            }
        }
        evictTo(mCapacity - mHeldPieces);
    }

    private void evictTo(int pieces) {
        while (mCached.size() > pieces) {
            long eldest = mCached.keySet().iterator().next();
            mCached.remove(eldest);
            mChanges.add(new Change(eldest, false));
        }
    }

    /** Returns the pieces held by requests. */
    public int heldPieces() {
        return mHeldPieces;
    }

    /** Returns the pieces not held by requests. */
    public int freePieces() {
        return mCapacity - mHeldPieces;
    }

    /** Returns the changes to the cache since the last call. */
    public List<Change> takeChanges() {
        List<Change> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }
}
