package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.fleet.ServerLoad;

/**
 * Tracks the load in progress on each backend server over all hosts: exact for this host, as last
 * reported for the others.
 *
 * <p>Invariant: every load that this host adds is removed later, possibly in parts, so its own load
 * is never negative. Thread-safe.
 */
public final class LoadTracker {
    private final Map<BackendServerId, ServerLoad> mLocal = new HashMap<>();
    private Map<BackendServerId, ServerLoad> mRemote = Map.of();

    /** Adds the load of a request of this host. */
    public synchronized void add(ServerLoad load) {
        mLocal.merge(load.server(), load, ServerLoad::plus);
    }

    /** Removes all or part of the load of a request of this host. */
    public synchronized void remove(ServerLoad load) {
        ServerLoad remaining =
                mLocal.merge(
                        load.server(),
                        new ServerLoad(
                                load.server(),
                                -load.requests(),
                                -load.tokens(),
                                -load.unreadTokens()),
                        ServerLoad::plus);
        if (remaining.requests() <= 0 && remaining.tokens() <= 0) {
            mLocal.remove(load.server());
        }
    }

    /** Replaces the loads reported by the other hosts. */
    public synchronized void replaceRemoteLoads(List<ServerLoad> loads) {
        Map<BackendServerId, ServerLoad> remote = new HashMap<>();
        loads.forEach(load -> remote.merge(load.server(), load, ServerLoad::plus));
        mRemote = remote;
    }

    /** Returns the loads of this host. */
    public synchronized List<ServerLoad> localLoads() {
        return List.copyOf(mLocal.values());
    }

    /** Returns the load of all hosts on a server. */
    public synchronized ServerLoad total(BackendServerId server) {
        ServerLoad none = new ServerLoad(server, 0, 0, 0);
        return mLocal.getOrDefault(server, none).plus(mRemote.getOrDefault(server, none));
    }
}
