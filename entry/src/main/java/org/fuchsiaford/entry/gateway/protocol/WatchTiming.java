package org.fuchsiaford.entry.gateway.protocol;

import java.util.function.LongSupplier;

/**
 * How often and for how long a client of the store watches it. Implementations are thread-safe and
 * do not block; the values may change between two calls of a watch.
 */
public interface WatchTiming {
    /**
     * Returns the least time between the starts of two calls of a watch, in nanoseconds, so that
     * one call returns the changes of this time together.
     */
    long intervalNanos();

    /**
     * Returns how long the store holds a call of a watch open if nothing changes, in milliseconds.
     * The response shows that the connection of the watch still works.
     */
    long waitMillis();

    /** Returns a timing of the given values. */
    static WatchTiming of(LongSupplier intervalNanos, LongSupplier waitMillis) {
        return new WatchTiming() {
            @Override
            public long intervalNanos() {
                return intervalNanos.getAsLong();
            }

            @Override
            public long waitMillis() {
                return waitMillis.getAsLong();
            }
        };
    }
}
