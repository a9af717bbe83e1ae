package org.fuchsiaford.fairness;

import java.util.HashMap;
import java.util.Map;

/**
 * Compares the recent usage of each account, an exponentially decaying sum of tokens, with its
 * share by weight among the active accounts.
 *
 * <p>Invariant: all sums decay alike, so their ratios change only when tokens are added. Not
 * thread-safe.
 */
public final class ShareMeter<K> {
    private static final double MIN_TRACKED_TOKENS = 1;

    private final Map<K, Usage> mUsages = new HashMap<>();
    private final double mDecayNanos;
    private final double mTolerance;
    private long mLastDecayNanos;
    private double mTotalTokens;
    private double mTotalWeight;

    private static final class Usage {
        private double mTokens;
        private double mWeight;
    }

    /**
     * Creates a meter without usage.
     *
     * @param decayNanos the time in which a sum falls to 1/e
     * @param tolerance the multiple of its share up to which an account counts as within it
     */
    public ShareMeter(long decayNanos, double tolerance) {
        mDecayNanos = decayNanos;
        mTolerance = tolerance;
    }

    /** Adds the tokens of a request to an account with the given positive weight. */
    public void add(K account, double weight, long tokens, long nowNanos) {
        decay(nowNanos);
        Usage usage = mUsages.computeIfAbsent(account, id -> new Usage());
        usage.mTokens += tokens;
        mTotalTokens += tokens;
        mTotalWeight += weight - usage.mWeight;
        usage.mWeight = weight;
    }

    /** Returns whether the recent usage of an account exceeds its share by weight. */
    public boolean isOverShare(K account, long nowNanos) {
        decay(nowNanos);
        return withinShare(account) < 1;
    }

    /** Returns the part of the recent usage of an account that is within its share, up to 1. */
    public double withinShare(K account) {
        Usage own = mUsages.get(account);
        if (own == null || mUsages.size() == 1) {
            return 1;
        }
        double shareTokens = mTolerance * own.mWeight / mTotalWeight * mTotalTokens;
        return Math.min(shareTokens / own.mTokens, 1);
    }

    /** Returns the recent usage of an account, in tokens. */
    public double tokens(K account) {
        Usage usage = mUsages.get(account);
        return usage == null ? 0 : usage.mTokens;
    }

    private void decay(long nowNanos) {
        long elapsedNanos = nowNanos - mLastDecayNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        mLastDecayNanos = nowNanos;
        double factor = Math.exp(-elapsedNanos / mDecayNanos);
        mUsages.values().forEach(usage -> usage.mTokens *= factor);
        mUsages.values().removeIf(usage -> usage.mTokens < MIN_TRACKED_TOKENS);
        mTotalTokens = mUsages.values().stream().mapToDouble(usage -> usage.mTokens).sum();
        mTotalWeight = mUsages.values().stream().mapToDouble(usage -> usage.mWeight).sum();
    }
}
