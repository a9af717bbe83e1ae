package org.fuchsiaford.placement;

/**
 * A request that waits for engines. Immutable.
 *
 * @param request the request
 * @param deadlineNanos when its first token is due
 * @param costNanos the time that the whole pool needs for it
 */
record QueuedRequest(PlacementRequest request, long deadlineNanos, long costNanos) {}
