package org.fuchsiaford.entry.gateway.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.store.StoreKey;

/** Decodes the store entries of operators and backend servers. Implementations are thread-safe. */
public interface StateDecoder {
    /** Returns the prefixes of all keys that operators and backend servers write. */
    List<StoreKey> prefixes();

    /** Returns whether the key is that of the operators' routing table. */
    boolean isRoutingTable(StoreKey key);

    /** Returns the backend server whose registration is stored under the key, if any. */
    Optional<BackendServerId> serverId(StoreKey key);

    /**
     * Returns the failure domain that operators have evacuated for as long as the key is stored, if
     * any.
     */
    Optional<FailureDomainId> evacuatedDomain(StoreKey key);

    /**
     * Decodes the operators' routing table.
     *
     * @throws UnreadableException if any part of it is invalid
     */
    RoutingTable readRoutingTable(byte[] value) throws UnreadableException;

    /**
     * Decodes the registration of a backend server.
     *
     * @throws UnreadableException if it does not describe a usable server
     */
    LiveServer readServer(BackendServerId id, byte[] value) throws UnreadableException;

    /**
     * Decodes how long a backend server is still cold according to its registration, in
     * milliseconds.
     *
     * @return empty if the registration does not tell
     */
    default OptionalLong readColdRemainingMillis(byte[] value) {
        return OptionalLong.empty();
    }
}
