package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import org.fuchsiaford.selection.StreamPace;

/**
 * The longest time between events of one stream that its caller is sent, over all attempts. The
 * time until the first event is not counted, since a route has a target of its own for it.
 *
 * <p>Not thread-safe but for reading: the signals of one stream arrive sequentially.
 */
final class StreamGaps {
    private int mArrivals;
    private long mFirstNanos;
    private long mLastNanos;
    private volatile Gap mLongest;

    /**
     * A time without events.
     *
     * @param lengthNanos how long it was
     * @param endNanos when the event that ended it arrived, on the monotonic clock
     */
    record Gap(long lengthNanos, long endNanos) {}

    /** Records that events have arrived. */
    void record(long nowNanos) {
        if (mArrivals == 0) {
            mFirstNanos = nowNanos;
        } else if (mLongest == null || nowNanos - mLastNanos > mLongest.lengthNanos()) {
            mLongest = new Gap(nowNanos - mLastNanos, nowNanos);
        }
        mArrivals++;
        mLastNanos = nowNanos;
    }

    /** Returns how the events followed each other. */
    StreamPace pace() {
        return mArrivals < 2
                ? StreamPace.UNKNOWN
                : new StreamPace(
                        (mLastNanos - mFirstNanos) / (mArrivals - 1), mLongest.lengthNanos());
    }

    /** Returns the longest gap; empty until events have arrived twice. */
    Optional<Gap> longest() {
        return Optional.ofNullable(mLongest);
    }
}
