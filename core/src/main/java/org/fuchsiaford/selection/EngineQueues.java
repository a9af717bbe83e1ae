package org.fuchsiaford.selection;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.fleet.QueuedWork;
import org.fuchsiaford.registry.SoftwareVersion;

/**
 * The engine queues: one per service, so that a service without capacity does not block the others
 * and each queue measures the run times of its own models, and one per service and software version
 * for requests that are bound to the version. Thread-safe.
 */
public final class EngineQueues {
    private final Map<ServiceId, EngineQueue> mQueues = new ConcurrentHashMap<>();
    private final Map<Bound, EngineQueue> mBoundQueues = new ConcurrentHashMap<>();

    private final boolean mIsFair;

    /** Creates queues with shares of kinds and workspaces. */
    public EngineQueues() {
        this(true);
    }

    /**
     * Creates queues.
     *
     * @param isFair whether kinds and workspaces have shares; if not, requests go by priority and
     *     then by arrival
     */
    public EngineQueues(boolean isFair) {
        mIsFair = isFair;
    }

    private record Bound(ServiceId service, SoftwareVersion version) {}

    /** Returns the queue of a service, creating it if needed. */
    public EngineQueue of(ServiceId service) {
        return mQueues.computeIfAbsent(service, id -> new EngineQueue(mIsFair));
    }

    /** Returns the queue of a service for requests that are bound to a version, if there is one. */
    EngineQueue of(ServiceId service, Optional<SoftwareVersion> version) {
        return version.isEmpty()
                ? of(service)
                : mBoundQueues.computeIfAbsent(
                        new Bound(service, version.get()), id -> new EngineQueue(mIsFair));
    }

    /** Returns the versions of a service that queued requests are bound to. */
    Set<SoftwareVersion> awaitedVersions(ServiceId service) {
        mBoundQueues.values().removeIf(EngineQueue::isEmpty);
        return mBoundQueues.keySet().stream()
                .filter(bound -> bound.service().equals(service))
                .map(Bound::version)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether all queues are empty. */
    public boolean isEmpty() {
        return Stream.concat(mQueues.values().stream(), mBoundQueues.values().stream())
                .allMatch(EngineQueue::isEmpty);
    }

    /**
     * Returns the queued work that can still meet its target, for each service that has any.
     * Requests that are bound to a version do not compete with those of other hosts.
     */
    public List<QueuedWork> onTimeWork(long nowNanos) {
        return mQueues.entrySet().stream()
                .map(e -> new QueuedWork(e.getKey(), e.getValue().onTimeTokens(nowNanos)))
                .filter(work -> work.tokens() > 0)
                .toList();
    }
}
