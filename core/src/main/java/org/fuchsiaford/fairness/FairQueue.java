package org.fuchsiaford.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Start-time fair queueing across flows, such as workspaces or kinds of request, with an order of
 * its own within a flow. Each flow has a virtual time that advances by tokens divided by weight
 * with each served item; the flow with the lowest virtual time is next. A flow that was idle
 * resumes at the current virtual time, so it cannot accumulate credit.
 *
 * <p>Not thread-safe.
 */
public final class FairQueue<K, T extends FairQueue.Item<K>> {
    private final Map<K, Flow<T>> mFlows = new HashMap<>();
    private final Comparator<? super T> mOrder;
    private double mVirtualTime;

    /** A queued item. Immutable while it is queued. */
    public interface Item<K> {
        /** Returns the flow that the item belongs to. */
        K flow();

        /** Returns the weight of the flow, which the newest item of a flow states; positive. */
        double weight();

        /** Returns what is charged to the flow when the item is served. */
        long tokens();

        /** Returns how much of the capacity the item needs, in a unit of the user's. */
        long cost();
    }

    private static final class Flow<T> {
        private final List<T> mItems = new ArrayList<>();
        private double mVirtualTime;
        private double mWeight = 1;
        private long mCost;
        private long mTokens;
    }

    /**
     * Creates an empty queue.
     *
     * @param order the order within a flow, and between flows of equal virtual time; it may change
     *     while items are queued
     */
    public FairQueue(Comparator<? super T> order) {
        mOrder = order;
    }

    /** Adds an item. */
    public void add(T item) {
        Flow<T> flow = mFlows.computeIfAbsent(item.flow(), id -> new Flow<>());
        if (flow.mItems.isEmpty()) {
            flow.mVirtualTime = Math.max(flow.mVirtualTime, mVirtualTime);
        }
        flow.mWeight = item.weight();
        flow.mItems.add(item);
        flow.mCost += item.cost();
        flow.mTokens += item.tokens();
    }

    /** Returns the first item of each flow, in the order in which to serve them. */
    public List<T> heads() {
        return heads(item -> true);
    }

    /**
     * Returns the first item of each flow that is accepted, in the order in which to serve them.
     */
    public List<T> heads(Predicate<T> isAccepted) {
        return mFlows.values().stream()
                .flatMap(
                        flow ->
                                flow.mItems.stream()
                                        .filter(isAccepted)
                                        .min(mOrder)
                                        .map(item -> new Head<>(flow.mVirtualTime, item))
                                        .stream())
                .sorted(
                        Comparator.comparingDouble((Head<T> head) -> head.virtualTime)
                                .thenComparing(head -> head.item, mOrder))
                .map(head -> head.item)
                .toList();
    }

    private record Head<T>(double virtualTime, T item) {}

    /** Removes an item that is being served and charges its tokens to its flow. */
    public void serve(T item) {
        Flow<T> flow = mFlows.get(item.flow());
        removeFrom(flow, item);
        mVirtualTime = Math.max(mVirtualTime, flow.mVirtualTime);
        flow.mVirtualTime += item.tokens() / flow.mWeight;
    }

    /** Removes an item without charging its flow. */
    public void remove(T item) {
        removeFrom(mFlows.get(item.flow()), item);
    }

    private void removeFrom(Flow<T> flow, T item) {
        if (flow.mItems.remove(item)) {
            flow.mCost -= item.cost();
            flow.mTokens -= item.tokens();
        }
    }

    /** Returns all items, in no particular order. */
    public List<T> all() {
        List<T> all = new ArrayList<>();
        mFlows.values().forEach(flow -> all.addAll(flow.mItems));
        return all;
    }

    /** Returns whether no item is queued. */
    public boolean isEmpty() {
        return mFlows.values().stream().allMatch(flow -> flow.mItems.isEmpty());
    }

    /** Returns the cost of all items. */
    public long totalCost() {
        return mFlows.values().stream().mapToLong(flow -> flow.mCost).sum();
    }

    /** Returns the cost of the items that would be served before a new one. */
    public long costAhead(T item) {
        return costAhead(item, other -> true);
    }

    /**
     * Returns the cost of the items that would be served before a new one.
     *
     * @param isAhead whether an item of the same flow is served before the new one
     */
    public long costAhead(T item, Predicate<T> isAhead) {
        Flow<T> own = mFlows.getOrDefault(item.flow(), new Flow<>());
        List<T> ahead = own.mItems.stream().filter(isAhead).toList();
        long ownCost = ahead.stream().mapToLong(Item::cost).sum();
        long ownTokens = ahead.stream().mapToLong(Item::tokens).sum();
        double startTime =
                own.mItems.isEmpty() ? Math.max(own.mVirtualTime, mVirtualTime) : own.mVirtualTime;
        double finishTime = startTime + ownTokens / item.weight();
        double otherCost =
                mFlows.values().stream()
                        .filter(flow -> flow != own && !flow.mItems.isEmpty())
                        .mapToDouble(flow -> costBefore(flow, finishTime))
                        .sum();
        return ownCost + (long) otherCost;
    }

    /**
     * Returns the cost of the items that a flow is served up to a virtual time. Cost is assumed to
     * be proportional to tokens.
     */
    private double costBefore(Flow<T> flow, double virtualTime) {
        double servedTokens = Math.max(virtualTime - flow.mVirtualTime, 0) * flow.mWeight;
        return flow.mCost * Math.min(servedTokens / Math.max(flow.mTokens, 1), 1);
    }
}
