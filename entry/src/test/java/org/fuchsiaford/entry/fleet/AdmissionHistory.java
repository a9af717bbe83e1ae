package org.fuchsiaford.entry.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Records admissions with their times, so that the limit can be checked on this record rather than
 * on counters of the code under test. Not thread-safe.
 */
final class AdmissionHistory {
    private final List<Entry> mEntries = new ArrayList<>();

    /** One admission; its tokens exclude those that were returned. */
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
     * Returns by how many tokens the admissions of any interval exceed the burst plus the rate
     * times the length of the interval, at most; negative if no interval exceeds it.
     */
    double maxExcessTokens(double ratePerSecond, long burst) {
        // The excess of an interval is the rise, over the interval, of the running sum minus the
        // tokens accrued; so the maximum is reached from the lowest value before an admission.
        double minimum = Double.POSITIVE_INFINITY;
        double maximum = Double.NEGATIVE_INFINITY;
        double sum = 0;
        for (Entry entry : mEntries) {
            double accrued = ratePerSecond * entry.mTimeNanos / 1e9;
            minimum = Math.min(minimum, sum - accrued);
            sum += entry.mTokens;
            maximum = Math.max(maximum, sum - accrued - minimum - burst);
        }
        return maximum;
    }
}
