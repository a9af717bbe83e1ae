package org.fuchsiaford.entry.gateway.protocol;

import java.util.List;
import org.fuchsiaford.entry.gateway.GatewaySettings;
import org.fuchsiaford.store.Store;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * The platform-specific part of a deployment: wire formats and endpoints. Implementations are
 * located by {@link java.util.ServiceLoader} and are thread-safe.
 */
public interface Adapter {
    /** Returns the name by which the settings select this adapter. */
    String name();

    /**
     * Creates a client of the store.
     *
     * @param timing how often and for how long it watches, if a watch makes several calls
     */
    Store store(GatewaySettings settings, WatchTiming timing);

    /** Returns the protocol between callers and this host. */
    CallerProtocol callerProtocol();

    /** Returns the protocol between this host and backend servers. */
    ServerProtocol serverProtocol();

    /** Returns the protocol by which engines report their state and receive stage orders. */
    OrderProtocol orderProtocol();

    /** Returns the decoder of store entries. */
    StateDecoder stateDecoder();

    /** Starts the endpoints for service discovery and readiness checks. */
    Mono<List<DisposableServer>> startEndpoints(GatewaySettings settings, PublishedStatus status);
}
