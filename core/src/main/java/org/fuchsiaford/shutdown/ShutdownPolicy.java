package org.fuchsiaford.shutdown;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a host that is stopping may still send to backend servers.
 *
 * <p>Invariant: a request is sent only if its deadline passes before the host ends its requests. As
 * long as callers may not know that the host stops, it is also sent if it would end before that
 * even if it takes half as long again as the longest one lately, and at least a silence of its
 * server longer. Immutable, hence thread-safe.
 */
public final class ShutdownPolicy {
    /** The part of the longest duration lately that a request may take longer. */
    private static final long EXCESS_DIVISOR = 2;

    /** A sound server may be silent for about a second and go on. */
    private static final long SILENCE_ALLOWANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private ShutdownPolicy() {}

    /**
     * Returns until when a request may be sent, on the monotonic clock.
     *
     * @param deadlineNanos the deadline of the request; it is answered by then in any case
     * @param longestNanos the longest duration of such requests lately, if there were any
     * @param startNanos when the stop of the host was requested
     * @param leaveNanos when callers know that the host stops, and can use another one
     * @param endNanos when the host ends the requests that are still in progress
     */
    public static long latestSendNanos(
            long deadlineNanos,
            OptionalLong longestNanos,
            long startNanos,
            long leaveNanos,
            long endNanos) {
        if (deadlineNanos - endNanos <= 0) {
            return deadlineNanos;
        }
        if (longestNanos.isEmpty()) {
            return startNanos;
        }
        long longest = longestNanos.getAsLong();
        long fittingNanos =
                endNanos - longest - Math.max(longest / EXCESS_DIVISOR, SILENCE_ALLOWANCE_NANOS);
        return fittingNanos - leaveNanos < 0 ? fittingNanos : leaveNanos;
    }
}
