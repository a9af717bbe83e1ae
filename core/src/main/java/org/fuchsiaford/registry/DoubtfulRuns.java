package org.fuchsiaford.registry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The runs of servers that may have ended, since a connection to them failed.
 *
 * <p>A server may start anew under its ID, and the registry describes its former run until the new
 * registration arrives. It has closed its connections in between. Invariant: a run stays in doubt
 * until the server itself states it, when asked after the doubt arose. Thread-safe.
 */
public final class DoubtfulRuns {
    private final Map<ServerRun, Long> mDoubtedNanos = new HashMap<>();

    /** Records that a run may have ended. */
    public synchronized void add(ServerRun run, long nowNanos) {
        mDoubtedNanos.put(run, nowNanos);
    }

    /**
     * Records that a server has stated its run.
     *
     * @param askedNanos when it was asked, on the monotonic clock
     */
    public synchronized void confirm(ServerRun run, long askedNanos) {
        mDoubtedNanos.computeIfPresent(
                run, (r, doubtedNanos) -> askedNanos - doubtedNanos > 0 ? null : doubtedNanos);
    }

    /** Returns whether a run may have ended. */
    public synchronized boolean contains(ServerRun run) {
        return mDoubtedNanos.containsKey(run);
    }

    /** Forgets the runs that do not satisfy a condition. */
    public synchronized void retain(Predicate<ServerRun> condition) {
        mDoubtedNanos.keySet().removeIf(condition.negate());
    }
}
