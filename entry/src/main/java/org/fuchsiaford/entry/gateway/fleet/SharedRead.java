package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.function.Supplier;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * A read of the store that all who wait for it share.
 *
 * <p>Invariant: two reads begin at least the interval apart, and a read serves only those who asked
 * before it began. Thread-safe.
 */
final class SharedRead {
    private final Supplier<Mono<Void>> mRead;
    private final long mIntervalNanos;
    private final Ticker mTicker;
    private boolean mHasRead;
    private long mLastReadNanos;
    private Mono<Void> mLast = Mono.empty();

    /**
     * Creates a read.
     *
     * @param read makes the call
     * @param intervalNanos the least time between two calls, in nanoseconds
     */
    SharedRead(Supplier<Mono<Void>> read, long intervalNanos, Ticker ticker) {
        mRead = read;
        mIntervalNanos = intervalNanos;
        mTicker = ticker;
    }

    /** Completes with a read that begins now or later. */
    synchronized Mono<Void> next() {
        long nowNanos = mTicker.nowNanos();
        boolean isAhead = mHasRead && mLastReadNanos - nowNanos >= 0;
        if (!isAhead) {
            long delayNanos =
                    mHasRead ? Math.max(0, mLastReadNanos + mIntervalNanos - nowNanos) : 0;
            mHasRead = true;
            mLastReadNanos = nowNanos + delayNanos;
            mLast = Mono.delay(Duration.ofNanos(delayNanos)).then(Mono.defer(mRead)).cache();
        }
        return mLast;
    }
}
