package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.fleet.ServerOutcomes;

/**
 * The outcomes of this host's calls that it has not reported to the coordinator yet. Thread-safe.
 */
public final class OutcomeTally {
    private final Map<BackendServerId, ServerOutcomes> mOutcomes = new HashMap<>();

    /** Counts a call; one that a full server rejected says nothing about its health. */
    public void record(BackendServerId server, AttemptOutcome outcome) {
        if (outcome != AttemptOutcome.NOT_RUN) {
            long failures = outcome == AttemptOutcome.ANSWERED ? 0 : 1;
            add(new ServerOutcomes(server, 1, failures, 0));
        }
    }

    /**
     * Counts an answer.
     *
     * @param durationNanos how long it took
     */
    public void recordAnswer(BackendServerId server, long durationNanos) {
        add(new ServerOutcomes(server, 1, 0, TimeUnit.NANOSECONDS.toMicros(durationNanos)));
    }

    private synchronized void add(ServerOutcomes outcomes) {
        mOutcomes.merge(outcomes.server(), outcomes, ServerOutcomes::plus);
    }

    /** Returns and forgets the outcomes counted since the last call. */
    public synchronized List<ServerOutcomes> drain() {
        List<ServerOutcomes> outcomes = List.copyOf(mOutcomes.values());
        mOutcomes.clear();
        return outcomes;
    }
}
