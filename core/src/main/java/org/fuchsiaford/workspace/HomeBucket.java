package org.fuchsiaford.workspace;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The token bucket of one workspace at one of its home slots.
 *
 * <p>Tokens are subtracted before they are answered, so a lost answer loses tokens and never makes
 * them. Tokens given to another host are spent later than they were subtracted; until they must
 * have been spent they count against the capacity, so that level and tokens under way together
 * never exceed the burst. Tokens given back count as if they had never been subtracted, but only as
 * far as the bucket would not have run over since the grant; what would have run over is lost.
 *
 * <p>Invariant: over any interval, the tokens granted and not given back are at most the burst
 * share plus the rate share times the interval, measured at the times at which they were spent. Not
 * thread-safe; guarded by {@link HomeBuckets}.
 */
final class HomeBucket {
    /** Nanotokens in a token. */
    static final long NANOTOKENS_PER_TOKEN = 1_000_000_000L;

    private static final long FORGET_GRANT_NANOS = TimeUnit.MINUTES.toNanos(15);

    private final Map<GrantId, Grant> mGrants = new LinkedHashMap<>();
    private BucketLimit mShare;
    private long mLevelNanotokens;
    private long mAccruedNanos;

    /** Creates an empty bucket. */
    HomeBucket(BucketLimit share, long nowNanos) {
        mShare = share;
        mAccruedNanos = nowNanos;
    }

    /** Replaces the share; what exceeds a smaller burst is lost. */
    void setLimit(BucketLimit share, long nowNanos) {
        accrue(nowNanos);
        mShare = share;
        mLevelNanotokens = Math.min(mLevelNanotokens, roomNanotokens(nowNanos));
    }

    BucketLimit limit() {
        return mShare;
    }

    /**
     * Subtracts tokens, as many as wanted or as there are. A repeated call with the same id answers
     * the same and subtracts nothing more.
     *
     * @param heldUntilNanos when the tokens have certainly been spent or thrown away
     * @return the tokens given
     */
    long grant(GrantId id, long wantedTokens, long heldUntilNanos, long nowNanos) {
        Grant repeated = mGrants.get(id);
        if (repeated != null) {
            return repeated.tokens();
        }
        accrue(nowNanos);
        long tokens = Math.max(Math.min(wantedTokens, mLevelNanotokens / NANOTOKENS_PER_TOKEN), 0);
        mLevelNanotokens -= tokens * NANOTOKENS_PER_TOKEN;
        long forgetNanos = nowNanos + FORGET_GRANT_NANOS;
        Grant grant = new Grant(id, tokens, heldUntilNanos, forgetNanos, 0);
        mGrants.put(id, grant);
        grant.raisePeakTo(mLevelNanotokens + heldNanotokens(nowNanos));
        return tokens;
    }

    /**
     * Ends a grant.
     *
     * @param unusedTokens tokens given back; negative if more was used than granted
     * @return whether the grant was known
     */
    boolean settle(GrantId id, long unusedTokens, long nowNanos) {
        accrue(nowNanos);
        Grant grant = mGrants.remove(id);
        if (grant == null) {
            return false;
        }
        if (unusedTokens < 0) {
            mLevelNanotokens += unusedTokens * NANOTOKENS_PER_TOKEN;
            return true;
        }
        long unused = Math.min(unusedTokens, grant.tokens()) * NANOTOKENS_PER_TOKEN;
        long headroom = Math.max(mShare.capacityNanotokens() - grant.peakNanotokens(), 0);
        long refund = Math.min(unused, headroom);
        mLevelNanotokens += refund;
        mGrants.values().forEach(other -> other.raisePeakBy(refund));
        return true;
    }

    /** Returns the whole tokens in the bucket; negative after more was used than granted. */
    long levelTokens(long nowNanos) {
        accrue(nowNanos);
        return Math.floorDiv(mLevelNanotokens, NANOTOKENS_PER_TOKEN);
    }

    /** Accrues up to now, piece by piece between the ends of holds, since each end makes room. */
    private void accrue(long nowNanos) {
        long[] holdEndsNanos =
                mGrants.values().stream()
                        .mapToLong(Grant::heldUntilNanos)
                        .filter(end -> end - mAccruedNanos > 0 && nowNanos - end > 0)
                        .sorted()
                        .toArray();
        for (long endNanos : holdEndsNanos) {
            accrueWhileHoldsLast(endNanos);
        }
        accrueWhileHoldsLast(nowNanos);
        mGrants.values().removeIf(grant -> grant.isForgotten(nowNanos));
    }

    private void accrueWhileHoldsLast(long untilNanos) {
        long elapsedNanos = untilNanos - mAccruedNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        long heldNanotokens = heldNanotokens(mAccruedNanos);
        long roomNanotokens = mShare.capacityNanotokens() - heldNanotokens;
        long raised = mLevelNanotokens + mShare.accruedNanotokens(elapsedNanos);
        mLevelNanotokens = Math.max(Math.min(raised, roomNanotokens), mLevelNanotokens);
        mAccruedNanos = untilNanos;
        long peak = mLevelNanotokens + heldNanotokens;
        mGrants.values().forEach(grant -> grant.raisePeakTo(peak));
    }

    private long roomNanotokens(long nowNanos) {
        return mShare.capacityNanotokens() - heldNanotokens(nowNanos);
    }

    private long heldNanotokens(long nowNanos) {
        return mGrants.values().stream()
                .filter(grant -> grant.isHeld(nowNanos))
                .mapToLong(grant -> grant.tokens() * NANOTOKENS_PER_TOKEN)
                .sum();
    }
}
