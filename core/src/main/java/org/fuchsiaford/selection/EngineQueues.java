package org.fuchsiaford.selection;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.fleet.QueuedWork;

/**
 * The engine queues, one per service: a service without capacity does not block the others, and
 * each queue measures the run times of its own models. Thread-safe.
 */
public final class EngineQueues {
    private final Map<ServiceId, EngineQueue> mQueues = new ConcurrentHashMap<>();

    /** Returns the queue of a service, creating it if needed. */
    public EngineQueue of(ServiceId service) {
        return mQueues.computeIfAbsent(service, id -> new EngineQueue());
    }

    /** Returns whether all queues are empty. */
    public boolean isEmpty() {
        return mQueues.values().stream().allMatch(EngineQueue::isEmpty);
    }

    /** Returns the queued work that can still meet its target, for each service that has any. */
    public List<QueuedWork> onTimeWork(long nowNanos) {
        return mQueues.entrySet().stream()
                .map(e -> new QueuedWork(e.getKey(), e.getValue().onTimeTokens(nowNanos)))
                .filter(work -> work.tokens() > 0)
                .toList();
    }
}
