package org.fuchsiaford.placement;

import java.util.HashMap;
import java.util.Map;
import org.fuchsiaford.request.RequestId;

/**
 * The scheduler's view of a decode engine: the batch slots and KV cache blocks that are reserved
 * for placed requests, the pending KV cache transfers, and further load that the engine reports.
 *
 * <p>Invariant: reserved slots and blocks never exceed the capacity of the engine. Not thread-safe.
 */
final class DecodeEngine {
    private final EngineSpec mSpec;
    private final EngineHealth mHealth = new EngineHealth();
    private final Map<RequestId, ReservedCapacity> mReservations = new HashMap<>();
    private int mReservedBlocks;
    private long mPendingTransferNanos;
    private int mUntrackedRequests;

    /** What is reserved for a request; its transfer is pending until its first token. */
    private record ReservedCapacity(int blocks, long transferNanos) {}

    DecodeEngine(EngineSpec spec) {
        mSpec = spec;
    }

    EngineSpec spec() {
        return mSpec;
    }

    EngineHealth health() {
        return mHealth;
    }

    int freeBatchSlots(long nowNanos) {
        int usable = (int) Math.floor(mSpec.batchSlots() * mHealth.usableFraction(nowNanos));
        return usable - mReservations.size() - mUntrackedRequests;
    }

    boolean fits(int blocks, long nowNanos) {
        return freeBatchSlots(nowNanos) > 0 && mReservedBlocks + blocks <= mSpec.blocks();
    }

    /** Returns the link time of the transfers of all requests that have no first token yet. */
    long pendingTransferNanos() {
        return mPendingTransferNanos;
    }

    void reserve(RequestId request, int blocks, long transferNanos) {
        mReservations.put(request, new ReservedCapacity(blocks, transferNanos));
        mReservedBlocks += blocks;
        mPendingTransferNanos += transferNanos;
    }

    /** Removes the transfer of a request from the pending link time. */
    void finishTransfer(RequestId request) {
        mReservations.computeIfPresent(
                request,
                (id, reservation) -> {
                    mPendingTransferNanos -= reservation.transferNanos();
                    return new ReservedCapacity(reservation.blocks(), 0);
                });
    }

    void release(RequestId request) {
        finishTransfer(request);
        ReservedCapacity reservation = mReservations.remove(request);
        if (reservation != null) {
            mReservedBlocks -= reservation.blocks();
        }
    }

    /**
     * Applies a load report. Requests that the engine reports beyond the reserved ones were placed
     * by a previous scheduler of this pool; they occupy batch slots too.
     */
    void updateLoad(EngineLoad load) {
        int reported = load.running() + load.waiting();
        mUntrackedRequests = Math.max(reported - mReservations.size(), 0);
    }
}
