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
 * Start-time fair queueing over workspaces, and earliest deadline first within one. Each workspace
 * has a virtual time that advances by tokens over weight with each request served; the one with the
 * lowest comes next. A workspace that was idle starts at the present virtual time, so it cannot
 * save up a share.
 *
 * <p>Not thread-safe.
 */
final class FairQueue {
    private final Map<WorkspaceId, Lane> mLanes = new HashMap<>();
    private double mVirtualTime;

    private static final class Lane {
        private final PriorityQueue<QueuedRequest> mRequests =
                new PriorityQueue<>(Comparator.comparingLong(QueuedRequest::deadlineNanos));
        private double mVirtualTime;
        private long mWeight = 1;
        private long mCostNanos;
        private long mTokens;
    }

    void add(QueuedRequest queued) {
        PlacementRequest request = queued.request();
        Lane lane = mLanes.computeIfAbsent(request.workspace(), id -> new Lane());
        if (lane.mRequests.isEmpty()) {
            lane.mVirtualTime = Math.max(lane.mVirtualTime, mVirtualTime);
        }
        lane.mWeight = Math.max(request.weight(), 1);
        lane.mRequests.add(queued);
        lane.mCostNanos += queued.costNanos();
        lane.mTokens += queued.tokens();
    }

    /** Returns the heads of all lanes, in the order in which they should be served. */
    List<QueuedRequest> heads() {
        return mLanes.values().stream()
                .filter(lane -> !lane.mRequests.isEmpty())
                .sorted(
                        Comparator.comparingDouble((Lane lane) -> lane.mVirtualTime)
                                .thenComparingLong(lane -> lane.mRequests.peek().deadlineNanos()))
                .map(lane -> lane.mRequests.peek())
                .toList();
    }

    /** Takes a request out as served; its workspace is charged. */
    void serve(QueuedRequest queued) {
        Lane lane = mLanes.get(queued.request().workspace());
        removeFrom(lane, queued);
        mVirtualTime = Math.max(mVirtualTime, lane.mVirtualTime);
        lane.mVirtualTime += (double) queued.tokens() / lane.mWeight;
    }

    /** Takes a request out without charge. */
    void remove(QueuedRequest queued) {
        removeFrom(mLanes.get(queued.request().workspace()), queued);
    }

    private static void removeFrom(Lane lane, QueuedRequest queued) {
        if (lane.mRequests.remove(queued)) {
            lane.mCostNanos -= queued.costNanos();
            lane.mTokens -= queued.tokens();
        }
    }

    Optional<QueuedRequest> find(RequestId request) {
        return all().stream().filter(q -> q.request().request().equals(request)).findFirst();
    }

    List<QueuedRequest> all() {
        List<QueuedRequest> all = new ArrayList<>();
        mLanes.values().forEach(lane -> all.addAll(lane.mRequests));
        return all;
    }

    boolean isEmpty() {
        return mLanes.values().stream().allMatch(lane -> lane.mRequests.isEmpty());
    }

    /** Returns the cost of all that waits, in nanoseconds of the pool. */
    long totalCostNanos() {
        return mLanes.values().stream().mapToLong(lane -> lane.mCostNanos).sum();
    }

    /**
     * Returns the cost of what would be served before a new request, in nanoseconds of the pool.
     */
    long costAheadNanos(PlacementRequest request) {
        Lane own = mLanes.get(request.workspace());
        long ownCostNanos = own == null ? 0 : own.mCostNanos;
        double ownStart =
                own == null || own.mRequests.isEmpty()
                        ? Math.max(own == null ? 0 : own.mVirtualTime, mVirtualTime)
                        : own.mVirtualTime;
        long ownTokens = own == null ? 0 : own.mTokens;
        double finish = ownStart + (double) ownTokens / Math.max(request.weight(), 1);
        double others =
                mLanes.values().stream()
                        .filter(lane -> lane != own && !lane.mRequests.isEmpty())
                        .mapToDouble(lane -> costBefore(lane, finish))
                        .sum();
        return ownCostNanos + (long) others;
    }

    /** The cost of what a lane has served until a virtual time, taken in proportion to tokens. */
    private static double costBefore(Lane lane, double virtualTime) {
        double roomTokens = Math.max(virtualTime - lane.mVirtualTime, 0) * lane.mWeight;
        return lane.mCostNanos * Math.min(roomTokens / Math.max(lane.mTokens, 1), 1);
    }
}
