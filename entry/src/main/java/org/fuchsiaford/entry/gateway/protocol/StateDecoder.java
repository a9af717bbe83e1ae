package org.fuchsiaford.entry.gateway.protocol;

import java.util.Optional;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.store.StoreKey;

/** Reads what operators and backend servers write to the store. Implementations are thread-safe. */
public interface StateDecoder {
    /** Returns whether the operators' declaration lies under the key. */
    boolean isRoutingTable(StoreKey key);

    /** Returns the backend server that describes itself under the key, if it is such a key. */
    Optional<BackendServerId> serverId(StoreKey key);

    /**
     * Reads the operators' declaration.
     *
     * @throws UnreadableException if it cannot be used as a whole
     */
    RoutingTable readRoutingTable(byte[] value) throws UnreadableException;

    /**
     * Reads a backend server's description of itself.
     *
     * @throws UnreadableException if it names no server that could be used
     */
    LiveServer readServer(BackendServerId id, byte[] value) throws UnreadableException;
}
