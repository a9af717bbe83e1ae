package org.fuchsiaford.selection;

/**
 * How the events of a stream followed each other. Immutable.
 *
 * @param gapNanos the mean time between events; zero if not known
 * @param longestGapNanos the longest time between events; zero if not known
 */
public record StreamPace(long gapNanos, long longestGapNanos) {
    /** The pace of a stream whose host does not state it, or that had too few events. */
    public static final StreamPace UNKNOWN = new StreamPace(0, 0);

    /** Returns whether the pace is known. */
    public boolean isKnown() {
        return gapNanos > 0;
    }
}
