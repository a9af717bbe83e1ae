package org.fuchsiaford.time;

/**
 * A monotonic clock, injected so that tests can control time.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface Ticker {
    /** The system clock, {@link System#nanoTime}. */
    Ticker SYSTEM = System::nanoTime;

    /** Returns the nanoseconds since an arbitrary origin; never decreases. */
    long nowNanos();
}
