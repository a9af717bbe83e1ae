package org.fuchsiaford.workspace;

/**
 * Tokens given out by a home bucket and not yet settled.
 *
 * <p>Not thread-safe; guarded by its bucket.
 */
final class Grant {
    private final GrantId mId;
    private final long mTokens;
    private final long mHeldUntilNanos;
    private final long mForgetNanos;
    private long mPeakNanotokens;

    Grant(GrantId id, long tokens, long heldUntilNanos, long forgetNanos, long peakNanotokens) {
        mId = id;
        mTokens = tokens;
        mHeldUntilNanos = heldUntilNanos;
        mForgetNanos = forgetNanos;
        mPeakNanotokens = peakNanotokens;
    }

    GrantId id() {
        return mId;
    }

    long tokens() {
        return mTokens;
    }

    long heldUntilNanos() {
        return mHeldUntilNanos;
    }

    boolean isHeld(long nowNanos) {
        return nowNanos - mHeldUntilNanos < 0;
    }

    boolean isForgotten(long nowNanos) {
        return nowNanos - mForgetNanos >= 0;
    }

    long peakNanotokens() {
        return mPeakNanotokens;
    }

    void raisePeakTo(long nanotokens) {
        mPeakNanotokens = Math.max(mPeakNanotokens, nanotokens);
    }

    void raisePeakBy(long nanotokens) {
        mPeakNanotokens += nanotokens;
    }
}
