package org.fuchsiaford.standin.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The state of an engine stand-in: KV cache blocks, prefill queue and batch slots. Thread-safe. */
final class EngineState {
    private final EngineProfile mProfile;
    private final KvBlockManager mBlocks;
    private final Map<String, Prefill> mPrefills = new HashMap<>();
    private long mPrefillFreeNanos;
    private boolean mPrefilledBefore;
    private int mRunning;

    /** A prefill in progress or its result. */
    private static final class Prefill {
        private final int mTokens;
        private final long mReadyNanos;
        private boolean mTransferring;

        Prefill(int tokens, long readyNanos) {
            mTokens = tokens;
            mReadyNanos = readyNanos;
        }
    }

    EngineState(EngineProfile profile) {
        mProfile = profile;
        mBlocks = new KvBlockManager(profile.blocks());
    }

    /**
     * Queues a prefill.
     *
     * @return the number of prompt tokens found in the prefix cache, or -1 if there are not enough
     *     free blocks
     */
    synchronized int startPrefill(String id, int tokens, long[] prefixHashes, long nowNanos) {
        if (!mBlocks.allocate(id, mProfile.blocks(tokens))) {
            return -1;
        }
        int cached = Math.min(mBlocks.cachedBlocks(prefixHashes) * mProfile.blockTokens(), tokens);
        boolean queued = mPrefilledBefore && mPrefillFreeNanos - nowNanos > 0;
        long startNanos = queued ? mPrefillFreeNanos : nowNanos;
        mPrefillFreeNanos = startNanos + mProfile.prefillNanos(Math.max(tokens - cached, 1));
        mPrefilledBefore = true;
        mRunning++;
        mPrefills.put(id, new Prefill(tokens, mPrefillFreeNanos));
        return cached;
    }

    /** Returns the time until a prefill is finished. */
    synchronized long prefillDelayNanos(String id, long nowNanos) {
        return Math.max(mPrefills.get(id).mReadyNanos - nowNanos, 0);
    }

    synchronized void finishPrefill(String id, long[] prefixHashes) {
        mBlocks.cache(prefixHashes);
    }

    /** Releases a result whose transfer has not started. */
    synchronized void expire(String id) {
        Prefill prefill = mPrefills.get(id);
        if (prefill != null && !prefill.mTransferring) {
            release(id);
        }
    }

    /**
     * Starts the transfer of a prefill result.
     *
     * @return the number of tokens to transfer, or -1 if the result has expired or its transfer has
     *     already started
     */
    synchronized int startTransfer(String id) {
        Prefill prefill = mPrefills.get(id);
        if (prefill == null || prefill.mTransferring) {
            return -1;
        }
        prefill.mTransferring = true;
        return prefill.mTokens;
    }

    synchronized void release(String id) {
        if (mPrefills.remove(id) != null) {
            mRunning--;
            mBlocks.release(id);
        }
    }

    /** Starts a decode; returns false if there is no free batch slot or block. */
    synchronized boolean startDecode(String id, int tokens) {
        if (mRunning >= mProfile.batchSlots() || !mBlocks.allocate(id, mProfile.blocks(tokens))) {
            return false;
        }
        mRunning++;
        return true;
    }

    synchronized void endDecode(String id) {
        mRunning--;
        mBlocks.release(id);
    }

    synchronized int running() {
        return mRunning;
    }

    synchronized int freeBlocks() {
        return mBlocks.freeBlocks();
    }

    synchronized int allocatedBlocks() {
        return mBlocks.allocatedBlocks();
    }

    synchronized List<KvBlockManager.CacheChange> takeCacheChanges() {
        return mBlocks.takeCacheChanges();
    }
}
