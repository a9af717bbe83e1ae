package org.fuchsiaford.placement;

/**
 * A request that is queued until engines are available. Immutable.
 *
 * @param request the queued request
 * @param deadlineNanos the time at which its first token is due
 * @param costNanos the time that the whole pool needs to process it
 * @param tokens the tokens charged to the share of its workspace, in the same unit as rate limits
 */
record QueuedPlacementRequest(
        PlacementRequest request, long deadlineNanos, long costNanos, long tokens) {

    /** Returns a copy with a different deadline. */
    QueuedPlacementRequest withDeadline(long otherDeadlineNanos) {
        return new QueuedPlacementRequest(request, otherDeadlineNanos, costNanos, tokens);
    }
}
