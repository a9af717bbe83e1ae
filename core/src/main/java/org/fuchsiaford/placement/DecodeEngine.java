package org.fuchsiaford.placement;

import java.util.HashMap;
import java.util.Map;
import org.fuchsiaford.request.RequestId;

/**
 * A keeper's view of an engine that decodes: the seats and pieces it holds for placed requests, and
 * what the engine reports beyond them.
 *
 * <p>Invariant: the seats and pieces held here never exceed what the engine has. Not thread-safe.
 */
final class DecodeEngine {
    private final EngineSpec mSpec;
    private final EngineHealth mHealth = new EngineHealth();
    private final Map<RequestId, Integer> mHeldPieces = new HashMap<>();
    private int mPiecesInUse;
    private int mForeignSeats;

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
        int usable = (int) Math.floor(mSpec.seats() * mHealth.usablePart(nowNanos));
        return usable - mHeldPieces.size() - mForeignSeats;
    }

    int heldSeats() {
        return mHeldPieces.size() + mForeignSeats;
    }

    boolean fits(int pieces, long nowNanos) {
        return freeSeats(nowNanos) > 0 && mPiecesInUse + pieces <= mSpec.pieces();
    }

    void hold(RequestId request, int pieces) {
        mHeldPieces.put(request, pieces);
        mPiecesInUse += pieces;
    }

    void release(RequestId request) {
        Integer pieces = mHeldPieces.remove(request);
        if (pieces != null) {
            mPiecesInUse -= pieces;
        }
    }

    /**
     * Takes note of a report. Requests that the engine runs beyond those held here were placed by a
     * keeper before this one.
     */
    void report(EngineLoad load) {
        int reported = load.running() + load.waiting();
        mForeignSeats = Math.max(reported - mHeldPieces.size(), 0);
    }
}
