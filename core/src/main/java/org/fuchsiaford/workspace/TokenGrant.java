package org.fuchsiaford.workspace;

/**
 * Tokens that a {@link HomeBucket} has granted and that are not settled yet.
 *
 * <p>Not thread-safe; guarded by its bucket.
 */
final class TokenGrant {
    private final GrantId mId;
    private final long mTokens;
    private final long mHeldUntilNanos;
    private final long mExpiryNanos;
    private long mPeakNanotokens;

    /**
     * Creates a grant.
     *
     * @param id the ID of the grant
     * @param tokens the tokens granted
     * @param heldUntilNanos until when the tokens may be unspent and count against the capacity
     * @param expiryNanos when the bucket drops the grant if it has not been settled
     * @param peakNanotokens the initial peak, see {@link #peakNanotokens}
     */
    TokenGrant(
            GrantId id, long tokens, long heldUntilNanos, long expiryNanos, long peakNanotokens) {
        mId = id;
        mTokens = tokens;
        mHeldUntilNanos = heldUntilNanos;
        mExpiryNanos = expiryNanos;
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

    boolean isExpired(long nowNanos) {
        return nowNanos - mExpiryNanos >= 0;
    }

    /**
     * Returns the highest sum of bucket level and held tokens since the grant, in nanotokens. It
     * limits the refund: tokens that would have overflowed the bucket in the meantime are lost.
     */
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
