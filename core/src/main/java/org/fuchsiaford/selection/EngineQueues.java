package org.fuchsiaford.selection;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.fleet.QueuedWork;

/**
 * One queue for each service of model engines, so that a full service holds up no other, and each
 * learns the times of its own models. Thread-safe.
 */
public final class EngineQueues {
    private final Map<ServiceId, EngineQueue> mQueues = new ConcurrentHashMap<>();

    /** Returns the queue of a service. */
    public EngineQueue of(ServiceId service) {
        return mQueues.computeIfAbsent(service, id -> new EngineQueue());
    }

    /** Returns whether nobody waits for any service. */
    public boolean isEmpty() {
        return mQueues.values().stream().allMatch(EngineQueue::isEmpty);
    }

    /** Returns what waits and can still be on time, for those services for which anything does. */
    public List<QueuedWork> waiting(long nowNanos) {
        return mQueues.entrySet().stream()
                .map(e -> new QueuedWork(e.getKey(), e.getValue().onTimeTokens(nowNanos)))
                .filter(work -> work.tokens() > 0)
                .toList();
    }
}
