package org.fuchsiaford.entry.gateway.state;

import java.util.Optional;
import org.fuchsiaford.registry.LiveServer;

/** Is told of each run of a backend server that registers. Implementations are thread-safe. */
@FunctionalInterface
public interface ServerStartListener {
    /**
     * Called when a server is new or has restarted; must not block.
     *
     * @param before the last known registration of the server, if it is still registered
     */
    void serverStarted(LiveServer server, Optional<LiveServer> before);
}
