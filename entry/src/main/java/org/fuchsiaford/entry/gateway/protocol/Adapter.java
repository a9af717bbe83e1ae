package org.fuchsiaford.entry.gateway.protocol;

import java.util.List;
import org.fuchsiaford.entry.gateway.GatewaySettings;
import org.fuchsiaford.store.Store;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * Everything that is particular to the surroundings of a deployment: wire formats and endpoints.
 * Found by {@link java.util.ServiceLoader}. Implementations are thread-safe.
 */
public interface Adapter {
    /** Returns the name that settings choose the adapter by. */
    String name();

    /** Returns a client of the store. */
    Store store(GatewaySettings settings);

    /** Returns how callers speak. */
    CallerProtocol callerProtocol();

    /** Returns how backend servers speak. */
    ServerProtocol serverProtocol();

    /** Returns how engines report and take orders. */
    OrderProtocol orderProtocol();

    /** Returns how the store's entries are read. */
    StateDecoder stateDecoder();

    /** Starts the endpoints by which a host is found and checked. */
    Mono<List<DisposableServer>> startEndpoints(GatewaySettings settings, HostStatus status);
}
