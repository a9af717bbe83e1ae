package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.fleet.ServerLoad;

/**
 * What all hosts together have under way at each backend server: exact for this host, as last
 * reported for the others.
 *
 * <p>Invariant: what this host adds it takes away again, so its own part is never negative.
 * Thread-safe.
 */
public final class LoadTracker {
    private final Map<BackendServerId, ServerLoad> mOwn = new HashMap<>();
    private Map<BackendServerId, ServerLoad> mOthers = Map.of();

    /** Adds a request of this host. */
    public synchronized void add(ServerLoad load) {
        mOwn.merge(load.server(), load, ServerLoad::plus);
    }

    /** Takes a request of this host away; what is left of it is taken from every count. */
    public synchronized void remove(ServerLoad load) {
        ServerLoad left =
                mOwn.merge(
                        load.server(),
                        new ServerLoad(
                                load.server(),
                                -load.requests(),
                                -load.tokens(),
                                -load.unreadTokens()),
                        ServerLoad::plus);
        if (left.requests() <= 0 && left.tokens() <= 0) {
            mOwn.remove(load.server());
        }
    }

    /** Replaces what the other hosts report. */
    public synchronized void replaceRemoteLoads(List<ServerLoad> reports) {
        Map<BackendServerId, ServerLoad> others = new HashMap<>();
        reports.forEach(load -> others.merge(load.server(), load, ServerLoad::plus));
        mOthers = others;
    }

    /** Returns what this host has under way. */
    public synchronized List<ServerLoad> localLoads() {
        return List.copyOf(mOwn.values());
    }

    /** Returns what all hosts have under way at a server. */
    public synchronized ServerLoad total(BackendServerId server) {
        ServerLoad none = new ServerLoad(server, 0, 0, 0);
        return mOwn.getOrDefault(server, none).plus(mOthers.getOrDefault(server, none));
    }
}
