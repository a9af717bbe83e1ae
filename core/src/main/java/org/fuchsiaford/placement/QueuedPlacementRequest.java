package org.fuchsiaford.placement;

import org.fuchsiaford.fairness.FairQueue;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A request that is queued until engines are available. Immutable.
 *
 * @param request the queued request
 * @param deadlineNanos the time at which its first token is due
 * @param cost the time that the whole pool needs to process it, in nanoseconds
 * @param tokens the tokens charged to the share of its workspace, in the same unit as rate limits
 */
record QueuedPlacementRequest(PlacementRequest request, long deadlineNanos, long cost, long tokens)
        implements FairQueue.Item<WorkspaceId> {

    @Override
    public WorkspaceId flow() {
        return request.workspace();
    }

    @Override
    public double weight() {
        return Math.max(request.weight(), 1);
    }

    /** Returns a copy with a different deadline. */
    QueuedPlacementRequest withDeadline(long otherDeadlineNanos) {
        return new QueuedPlacementRequest(request, otherDeadlineNanos, cost, tokens);
    }
}
