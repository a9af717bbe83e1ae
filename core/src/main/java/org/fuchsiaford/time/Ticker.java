package org.fuchsiaford.time;

/**
 * A monotonic clock. Passed in wherever time matters, so that tests control it.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface Ticker {
    /** The clock of this process. */
    Ticker SYSTEM = System::nanoTime;

    /** Returns the time since an arbitrary origin, in nanoseconds; it never goes back. */
    long nowNanos();
}
