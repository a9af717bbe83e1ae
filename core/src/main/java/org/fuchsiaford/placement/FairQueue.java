package org.fuchsiaford.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Start-time fair queueing across workspaces, with earliest deadline first within a workspace. Each
 * workspace has a virtual time that advances by tokens divided by weight with each served request;
 * the workspace with the lowest virtual time is next. A workspace that was idle resumes at the
 * current virtual time, so it cannot accumulate credit.
 *
 * <p>Not thread-safe.
 */
final class FairQueue {
    private final Map<WorkspaceId, WorkspaceQueue> mQueues = new HashMap<>();
    private double mVirtualTime;

    private static final class WorkspaceQueue {
        private final PriorityQueue<QueuedPlacementRequest> mRequests =
                new PriorityQueue<>(
                        Comparator.comparingLong(QueuedPlacementRequest::deadlineNanos));
        private double mVirtualTime;
        private long mWeight = 1;
        private long mCostNanos;
        private long mTokens;
    }

    void add(QueuedPlacementRequest queued) {
        PlacementRequest request = queued.request();
        WorkspaceQueue queue =
                mQueues.computeIfAbsent(request.workspace(), id -> new WorkspaceQueue());
        if (queue.mRequests.isEmpty()) {
            queue.mVirtualTime = Math.max(queue.mVirtualTime, mVirtualTime);
        }
        queue.mWeight = Math.max(request.weight(), 1);
        queue.mRequests.add(queued);
        queue.mCostNanos += queued.costNanos();
        queue.mTokens += queued.tokens();
    }

    /** Returns the first request of each workspace, in the order in which to serve them. */
    List<QueuedPlacementRequest> heads() {
        return mQueues.values().stream()
                .filter(queue -> !queue.mRequests.isEmpty())
                .sorted(
                        Comparator.comparingDouble((WorkspaceQueue queue) -> queue.mVirtualTime)
                                .thenComparingLong(queue -> queue.mRequests.peek().deadlineNanos()))
                .map(queue -> queue.mRequests.peek())
                .toList();
    }

    /** Removes a request that is being served and charges its tokens to its workspace. */
    void serve(QueuedPlacementRequest queued) {
        WorkspaceQueue queue = mQueues.get(queued.request().workspace());
        removeFrom(queue, queued);
        mVirtualTime = Math.max(mVirtualTime, queue.mVirtualTime);
        queue.mVirtualTime += (double) queued.tokens() / queue.mWeight;
    }

    /** Removes a request without charging its workspace. */
    void remove(QueuedPlacementRequest queued) {
        removeFrom(mQueues.get(queued.request().workspace()), queued);
    }

    private static void removeFrom(WorkspaceQueue queue, QueuedPlacementRequest queued) {
        if (queue.mRequests.remove(queued)) {
            queue.mCostNanos -= queued.costNanos();
            queue.mTokens -= queued.tokens();
        }
    }

    Optional<QueuedPlacementRequest> find(RequestId request) {
        return all().stream().filter(q -> q.request().request().equals(request)).findFirst();
    }

    List<QueuedPlacementRequest> all() {
        List<QueuedPlacementRequest> all = new ArrayList<>();
        mQueues.values().forEach(queue -> all.addAll(queue.mRequests));
        return all;
    }

    boolean isEmpty() {
        return mQueues.values().stream().allMatch(queue -> queue.mRequests.isEmpty());
    }

    /** Returns the time that the whole pool needs for all queued requests, in nanoseconds. */
    long totalCostNanos() {
        return mQueues.values().stream().mapToLong(queue -> queue.mCostNanos).sum();
    }

    /**
     * Returns the time that the whole pool needs for the requests that would be served before a new
     * one, in nanoseconds.
     */
    long costAheadNanos(PlacementRequest request) {
        WorkspaceQueue own = mQueues.get(request.workspace());
        long ownCostNanos = own == null ? 0 : own.mCostNanos;
        double startTime =
                own == null || own.mRequests.isEmpty()
                        ? Math.max(own == null ? 0 : own.mVirtualTime, mVirtualTime)
                        : own.mVirtualTime;
        long ownTokens = own == null ? 0 : own.mTokens;
        double finishTime = startTime + (double) ownTokens / Math.max(request.weight(), 1);
        double otherCostNanos =
                mQueues.values().stream()
                        .filter(queue -> queue != own && !queue.mRequests.isEmpty())
                        .mapToDouble(queue -> costBefore(queue, finishTime))
                        .sum();
        return ownCostNanos + (long) otherCostNanos;
    }

    /**
     * Returns the cost of the requests that a workspace is served up to a virtual time. Cost is
     * assumed to be proportional to tokens.
     */
    private static double costBefore(WorkspaceQueue queue, double virtualTime) {
        double servedTokens = Math.max(virtualTime - queue.mVirtualTime, 0) * queue.mWeight;
        return queue.mCostNanos * Math.min(servedTokens / Math.max(queue.mTokens, 1), 1);
    }
}
