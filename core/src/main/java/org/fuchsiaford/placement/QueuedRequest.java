package org.fuchsiaford.placement;

/**
 * A request that waits for engines. Immutable.
 *
 * @param request the request
 * @param deadlineNanos when its first token is due
 * @param costNanos the time that the whole pool needs for it
 * @param tokens what it counts against its workspace's share, the unit of limits
 */
record QueuedRequest(PlacementRequest request, long deadlineNanos, long costNanos, long tokens) {

    /** Returns the same request with another deadline. */
    QueuedRequest withDeadline(long otherDeadlineNanos) {
        return new QueuedRequest(request, otherDeadlineNanos, costNanos, tokens);
    }
}
