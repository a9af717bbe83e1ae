package org.fuchsiaford.placement;

import java.util.List;
import org.fuchsiaford.backend.BackendServerId;

/**
 * A load report of an engine. It may be outdated when it arrives. Immutable.
 *
 * @param engine the engine
 * @param running the number of requests that it is processing
 * @param waiting the number of requests that it has queued
 * @param freeBlocks the number of free KV cache blocks
 * @param cacheEvents changes to its prefix cache since the last report; events may be missing
 */
public record EngineLoad(
        BackendServerId engine,
        int running,
        int waiting,
        int freeBlocks,
        List<CacheEvent> cacheEvents) {

    /**
     * A change to a prefix cache.
     *
     * @param prefixHash the hash of the prompt up to the end of the block
     * @param stored true if the block was stored, false if it was evicted
     */
    public record CacheEvent(long prefixHash, boolean stored) {}
}
