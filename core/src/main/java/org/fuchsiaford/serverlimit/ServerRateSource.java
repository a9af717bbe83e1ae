package org.fuchsiaford.serverlimit;

import org.fuchsiaford.registry.ServerRun;

/** A reason to limit the requests to a server. Implementations are thread-safe. */
public interface ServerRateSource {
    /** Returns the limit of a run of a server; {@link ServerRate#UNLIMITED} if there is none. */
    ServerRate rate(ServerRun server, long nowNanos);

    /** Returns whether no server is limited for this reason. */
    boolean isEmpty();
}
