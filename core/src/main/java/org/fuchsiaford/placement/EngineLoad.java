package org.fuchsiaford.placement;

import java.util.List;
import org.fuchsiaford.backend.BackendServerId;

/**
 * An engine's report of its load. It lags. Immutable.
 *
 * @param engine the engine
 * @param running requests that it works on
 * @param waiting requests that it has not begun
 * @param freeBlocks pieces of memory that are free
 * @param cacheEvents changes to its prefix cache since the last report, perhaps with gaps
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
     * @param prefixHash the hash of the prompt up to the end of the piece
     * @param stored whether the piece was stored; otherwise it was evicted
     */
    public record CacheEvent(long prefixHash, boolean stored) {}
}
