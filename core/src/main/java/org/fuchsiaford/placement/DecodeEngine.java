package org.fuchsiaford.placement;

import java.util.HashMap;
import java.util.Map;
import org.fuchsiaford.request.RequestId;

/**
 * A keeper's view of an engine that decodes: the seats and pieces it holds for placed requests, the
 * transfers to come, and what the engine reports beyond them.
 *
 * <p>Invariant: the seats and pieces held here never exceed what the engine has. Not thread-safe.
 */
final class DecodeEngine {
    private final EngineSpec mSpec;
    private final EngineHealth mHealth = new EngineHealth();
    private final Map<RequestId, Hold> mHolds = new HashMap<>();
    private int mPiecesInUse;
    private long mPendingTransferNanos;
    private int mForeignSeats;

    /** What a request holds; its transfer is pending until its first token. */
    private record Hold(int pieces, long transferNanos) {}

    DecodeEngine(EngineSpec spec) {
        mSpec = spec;
    }

    EngineSpec spec() {
        return mSpec;
    }

    EngineHealth health() {
        return mHealth;
    }

    int freeSeats(long nowNanos) {
        int usable = (int) Math.floor(mSpec.batchSlots() * mHealth.usablePart(nowNanos));
        return usable - mHolds.size() - mForeignSeats;
    }

    boolean fits(int pieces, long nowNanos) {
        return freeSeats(nowNanos) > 0 && mPiecesInUse + pieces <= mSpec.blocks();
    }

    /** Returns the time that the link needs for the transfers of requests without a first token. */
    long pendingTransferNanos() {
        return mPendingTransferNanos;
    }

    void hold(RequestId request, int pieces, long transferNanos) {
        mHolds.put(request, new Hold(pieces, transferNanos));
        mPiecesInUse += pieces;
        mPendingTransferNanos += transferNanos;
    }

    /** Notes that a request's transfer is over. */
    void transferred(RequestId request) {
        mHolds.computeIfPresent(
                request,
                (id, hold) -> {
                    mPendingTransferNanos -= hold.transferNanos();
                    return new Hold(hold.pieces(), 0);
                });
    }

    void release(RequestId request) {
        transferred(request);
        Hold hold = mHolds.remove(request);
        if (hold != null) {
            mPiecesInUse -= hold.pieces();
        }
    }

    /**
     * Takes note of a report. Requests that the engine runs beyond those held here were placed by a
     * keeper before this one.
     */
    void report(EngineLoad load) {
        int reported = load.running() + load.waiting();
        mForeignSeats = Math.max(reported - mHolds.size(), 0);
    }
}
