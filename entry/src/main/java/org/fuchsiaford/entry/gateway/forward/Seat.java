package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.registry.LiveServer;

/**
 * A place of a request at a plain server, from its choice to its end.
 *
 * <p>Invariant: it ends once; later calls have no effect. Implementations are thread-safe.
 */
interface Seat {
    /** Returns the server. */
    LiveServer server();

    /** Records that the request is sent now. */
    void begin();

    /** Ends it after an answer, which took the given time. */
    void complete(long durationNanos);

    /** Ends it since the server has not run the request. */
    void reject();

    /** Ends it for another reason. */
    void release();
}
