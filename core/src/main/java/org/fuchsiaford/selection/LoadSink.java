package org.fuchsiaford.selection;

import org.fuchsiaford.fleet.ServerLoad;

/** Where the load of a reservation is counted. Implementations are thread-safe. */
public interface LoadSink {
    /** Adds load. */
    void add(ServerLoad load);

    /** Removes all or part of the load that was added before. */
    void remove(ServerLoad load);
}
