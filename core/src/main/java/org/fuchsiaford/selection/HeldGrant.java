package org.fuchsiaford.selection;

import java.util.List;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.prompt.PromptQuarantine;

/**
 * Engines that a request holds, and how far its answer has come. Not thread-safe; guarded by {@link
 * EngineScheduler}.
 */
final class HeldGrant {
    private final EngineAnswer.Granted mGrant;
    private final EngineReservation mReservation;
    private final boolean mPrefillWasIdle;
    private boolean mHasBegun;
    private long mBeganNanos;

    /** Creates a grant whose answer has not begun. */
    HeldGrant(EngineAnswer.Granted grant, EngineReservation reservation, boolean prefillWasIdle) {
        mGrant = grant;
        mReservation = reservation;
        mPrefillWasIdle = prefillWasIdle;
    }

    EngineAnswer.Granted grant() {
        return mGrant;
    }

    EngineRequest request() {
        return mGrant.request();
    }

    EngineReservation reservation() {
        return mReservation;
    }

    /** Returns whether the prefill engine had no other request when it was granted. */
    boolean prefillWasIdle() {
        return mPrefillWasIdle;
    }

    List<PromptPartId> prompt() {
        return request().promptParts();
    }

    BackendServerId decodeEngine() {
        return mGrant.plan().decode().id();
    }

    void recordFirstEvent(long nowNanos) {
        mHasBegun = true;
        mBeganNanos = nowNanos;
    }

    /** Returns when the first event arrived, or if that is not known, the time of the grant. */
    long beganNanos() {
        return mHasBegun ? mBeganNanos : mGrant.grantedNanos();
    }

    /** Returns whether the answer has gone on long enough to prove that its prompt is sound. */
    boolean hasSurvived(long nowNanos) {
        return mHasBegun && nowNanos - mBeganNanos >= PromptQuarantine.SURVIVAL_NANOS;
    }
}
