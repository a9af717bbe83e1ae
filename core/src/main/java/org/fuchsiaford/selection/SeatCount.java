package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.Map;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.registry.LiveServer;

/**
 * The number of requests that each plain server may have at once: those that it runs, and a few
 * more that it queues, so that it has the next one when an answer ends. How many it queues is not
 * declared: a rejection halves that number, answers raise it again.
 *
 * <p>Invariant: a server never has fewer than it runs, nor more than half as many again. Not
 * thread-safe.
 */
final class SeatCount {
    /** A request that waits half a run at its server loses less than the server would idle. */
    private static final double MAX_QUEUED_FRACTION = 0.5;

    /** Answers after which a server is given one more request to queue. */
    private static final int ANSWERS_PER_STEP = 50;

    private final Map<BackendServerId, Queued> mQueued = new HashMap<>();

    private static final class Queued {
        private int mMax;
        private int mAnswers;
    }

    /** Returns how many requests a server may have. */
    int of(LiveServer server) {
        Queued queued = mQueued.get(server.id());
        return server.maxConcurrentRequests() + (queued == null ? max(server) : queued.mMax);
    }

    private static int max(LiveServer server) {
        return (int) (server.maxConcurrentRequests() * MAX_QUEUED_FRACTION);
    }

    /** Records that a server rejected a request because it was full. */
    void recordRejection(LiveServer server) {
        Queued queued = queued(server);
        queued.mMax /= 2;
        queued.mAnswers = 0;
    }

    /** Records that a server answered a request. */
    void recordAnswer(LiveServer server) {
        Queued queued = mQueued.get(server.id());
        if (queued != null && ++queued.mAnswers >= ANSWERS_PER_STEP) {
            queued.mAnswers = 0;
            queued.mMax++;
            if (queued.mMax >= max(server)) {
                mQueued.remove(server.id());
            }
        }
    }

    private Queued queued(LiveServer server) {
        return mQueued.computeIfAbsent(
                server.id(),
                id -> {
                    Queued queued = new Queued();
                    queued.mMax = max(server);
                    return queued;
                });
    }
}
