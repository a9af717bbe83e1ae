package org.fuchsiaford.registry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What shows whether runs of servers go on, beside the registry. A server may start anew under its
 * ID, and the registry describes its former run until the new registration arrives.
 *
 * <p>Invariant: a run to which a connection has failed stays in doubt until the server states it,
 * when asked after that. A statement also holds for all time before it, since no run comes back.
 * Thread-safe.
 */
public final class RunEvidence {
    private final Map<ServerRun, Long> mDoubtedNanos = new HashMap<>();
    private final Map<ServerRun, Long> mStatedNanos = new HashMap<>();

    /** Records that a run may have ended. */
    public synchronized void addDoubt(ServerRun run, long nowNanos) {
        mDoubtedNanos.put(run, nowNanos);
    }

    /**
     * Records that a server has stated its run.
     *
     * @param askedNanos when it was asked, on the monotonic clock
     */
    public synchronized void addStatement(ServerRun run, long askedNanos) {
        mDoubtedNanos.computeIfPresent(
                run, (r, doubtedNanos) -> askedNanos - doubtedNanos > 0 ? null : doubtedNanos);
        mStatedNanos.merge(run, askedNanos, (a, b) -> a - b > 0 ? a : b);
    }

    /** Returns whether a run may have ended. */
    public synchronized boolean isDoubted(ServerRun run) {
        return mDoubtedNanos.containsKey(run);
    }

    /** Returns whether a server has stated its run when asked at a time or later. */
    public synchronized boolean isStatedSince(ServerRun run, long nanos) {
        Long statedNanos = mStatedNanos.get(run);
        return statedNanos != null && statedNanos - nanos >= 0;
    }

    /** Forgets the runs that do not satisfy a condition. */
    public synchronized void retain(Predicate<ServerRun> condition) {
        mDoubtedNanos.keySet().removeIf(condition.negate());
        mStatedNanos.keySet().removeIf(condition.negate());
    }
}
