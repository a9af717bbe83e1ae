package org.fuchsiaford.workspace;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The token bucket of one workspace at one of its home slots.
 *
 * <p>Tokens are subtracted before the reply is sent, so a lost reply can lose tokens but never
 * create them. Tokens granted to another host are spent after they were subtracted. Until they must
 * have been spent, they are held: they count against the capacity, so that the level plus the held
 * tokens never exceeds the burst. A refund counts as if the tokens had never been subtracted, but
 * tokens that would have overflowed the bucket since the grant are lost.
 *
 * <p>Invariant: over any interval, the tokens granted and not refunded are at most the burst of
 * this bucket plus its rate times the interval, measured at the times at which they were spent. Not
 * thread-safe; guarded by {@link HomeBuckets}.
 */
final class HomeBucket {
    /** Nanotokens in a token. */
    static final long NANOTOKENS_PER_TOKEN = 1_000_000_000L;

    private static final long UNSETTLED_GRANT_EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(15);

    private final Map<GrantId, TokenGrant> mUnsettledGrants = new LinkedHashMap<>();
    private BucketLimit mLimit;
    private long mLevelNanotokens;
    private long mLastAccrualNanos;

    /** Creates an empty bucket. */
    HomeBucket(BucketLimit limit, long nowNanos) {
        mLimit = limit;
        mLastAccrualNanos = nowNanos;
    }

    /** Replaces the limit; tokens above a lowered capacity are lost. */
    void setLimit(BucketLimit limit, long nowNanos) {
        accrue(nowNanos);
        mLimit = limit;
        mLevelNanotokens = Math.min(mLevelNanotokens, maxLevelNanotokens(nowNanos));
    }

    BucketLimit limit() {
        return mLimit;
    }

    /**
     * Subtracts the requested tokens, or as many as are available. Idempotent: a repeated call with
     * the same ID returns the same number and subtracts nothing more.
     *
     * @param heldUntilNanos when the tokens have certainly been spent or discarded
     * @return the tokens granted
     */
    long grant(GrantId id, long requestedTokens, long heldUntilNanos, long nowNanos) {
        TokenGrant earlier = mUnsettledGrants.get(id);
        if (earlier != null) {
            return earlier.tokens();
        }
        accrue(nowNanos);
        long availableTokens = mLevelNanotokens / NANOTOKENS_PER_TOKEN;
        long tokens = Math.max(Math.min(requestedTokens, availableTokens), 0);
        mLevelNanotokens -= tokens * NANOTOKENS_PER_TOKEN;
        long expiryNanos = nowNanos + UNSETTLED_GRANT_EXPIRY_NANOS;
        TokenGrant grant = new TokenGrant(id, tokens, heldUntilNanos, expiryNanos, 0);
        mUnsettledGrants.put(id, grant);
        grant.raisePeakTo(mLevelNanotokens + heldNanotokens(nowNanos));
        return tokens;
    }

    /**
     * Settles a grant.
     *
     * @param unusedTokens tokens to refund; negative if more were used than granted
     * @return false if the grant is unknown, settled already or expired
     */
    boolean settle(GrantId id, long unusedTokens, long nowNanos) {
        accrue(nowNanos);
        TokenGrant grant = mUnsettledGrants.remove(id);
        if (grant == null) {
            return false;
        }
        if (unusedTokens < 0) {
            mLevelNanotokens += unusedTokens * NANOTOKENS_PER_TOKEN;
            return true;
        }
        long unusedNanotokens = Math.min(unusedTokens, grant.tokens()) * NANOTOKENS_PER_TOKEN;
        long headroomNanotokens = Math.max(mLimit.capacityNanotokens() - grant.peakNanotokens(), 0);
        long refundNanotokens = Math.min(unusedNanotokens, headroomNanotokens);
        mLevelNanotokens += refundNanotokens;
        mUnsettledGrants.values().forEach(other -> other.raisePeakBy(refundNanotokens));
        return true;
    }

    /** Returns the whole tokens in the bucket; negative after more were used than granted. */
    long levelTokens(long nowNanos) {
        accrue(nowNanos);
        return Math.floorDiv(mLevelNanotokens, NANOTOKENS_PER_TOKEN);
    }

    /** Accrues tokens up to now, in steps between the ends of holds, as each end frees capacity. */
    private void accrue(long nowNanos) {
        long[] holdEndsNanos =
                mUnsettledGrants.values().stream()
                        .mapToLong(TokenGrant::heldUntilNanos)
                        .filter(end -> end - mLastAccrualNanos > 0 && nowNanos - end > 0)
                        .sorted()
                        .toArray();
        for (long endNanos : holdEndsNanos) {
            accrueWithConstantHolds(endNanos);
        }
        accrueWithConstantHolds(nowNanos);
        mUnsettledGrants.values().removeIf(grant -> grant.isExpired(nowNanos));
    }

    /** Accrues up to a time before which no hold ends. */
    private void accrueWithConstantHolds(long untilNanos) {
        long elapsedNanos = untilNanos - mLastAccrualNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        long heldNanotokens = heldNanotokens(mLastAccrualNanos);
        long maxLevelNanotokens = mLimit.capacityNanotokens() - heldNanotokens;
        long uncappedNanotokens = mLevelNanotokens + mLimit.accruedNanotokens(elapsedNanos);
        mLevelNanotokens =
                Math.max(Math.min(uncappedNanotokens, maxLevelNanotokens), mLevelNanotokens);
        mLastAccrualNanos = untilNanos;
        long peakNanotokens = mLevelNanotokens + heldNanotokens;
        mUnsettledGrants.values().forEach(grant -> grant.raisePeakTo(peakNanotokens));
    }

    private long maxLevelNanotokens(long nowNanos) {
        return mLimit.capacityNanotokens() - heldNanotokens(nowNanos);
    }

    private long heldNanotokens(long nowNanos) {
        return mUnsettledGrants.values().stream()
                .filter(grant -> grant.isHeld(nowNanos))
                .mapToLong(grant -> grant.tokens() * NANOTOKENS_PER_TOKEN)
                .sum();
    }
}
