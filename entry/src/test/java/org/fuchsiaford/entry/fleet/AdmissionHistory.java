package org.fuchsiaford.entry.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * What was admitted when, for checking the limit on the record itself rather than on counters that
 * the code keeps. Not thread-safe.
 */
final class AdmissionHistory {
    private final List<Entry> mEntries = new ArrayList<>();

    /** One admission; the tokens are those that were not given back. */
    static final class Entry {
        private final long mTimeNanos;
        private long mTokens;

        Entry(long timeNanos, long tokens) {
            mTimeNanos = timeNanos;
            mTokens = tokens;
        }

        void setTokens(long tokens) {
            mTokens = tokens;
        }
    }

    Entry add(long timeNanos, long tokens) {
        Entry entry = new Entry(timeNanos, tokens);
        mEntries.add(entry);
        return entry;
    }

    long totalTokens() {
        return mEntries.stream().mapToLong(entry -> entry.mTokens).sum();
    }

    /**
     * Returns the most tokens by which any interval exceeds burst plus rate times its length;
     * negative if none does.
     */
    double worstExcess(double ratePerSecond, long burst) {
        // The excess of [i, j] is largest where the running sum less rate times time has risen
        // most.
        double lowest = Double.POSITIVE_INFINITY;
        double worst = Double.NEGATIVE_INFINITY;
        double sum = 0;
        for (Entry entry : mEntries) {
            double accrued = ratePerSecond * entry.mTimeNanos / 1e9;
            lowest = Math.min(lowest, sum - accrued);
            sum += entry.mTokens;
            worst = Math.max(worst, sum - accrued - lowest - burst);
        }
        return worst;
    }
}
