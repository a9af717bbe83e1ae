package org.fuchsiaford.selection;

import org.fuchsiaford.registry.LiveServer;

/** The answer to a request for a seat. All are immutable. */
public sealed interface SeatAnswer {
    /** Returns the request that is answered. */
    SeatRequest request();

    /** A seat of a server is held for the request until it is released. */
    record Granted(SeatRequest request, LiveServer server) implements SeatAnswer {}

    /**
     * The request waits for a seat.
     *
     * @param waitMillis the estimated wait, in milliseconds
     */
    record Waiting(SeatRequest request, long waitMillis) implements SeatAnswer {}

    /**
     * The request cannot be answered in time.
     *
     * @param retryMillis the delay before a retry, in milliseconds
     */
    record Refused(SeatRequest request, long retryMillis, String reason) implements SeatAnswer {}
}
