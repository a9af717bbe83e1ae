package org.fuchsiaford.entry.gateway.order;

import org.fuchsiaford.entry.gateway.engine.EngineReportClient;
import org.fuchsiaford.entry.gateway.fleet.CoordinatorCalls;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.OrderProtocol;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.order.PendingOrders;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;

/** Creates stage controllers with their components. Stateless, hence thread-safe. */
public final class StageControllerFactory {
    private StageControllerFactory() {}

    /**
     * Creates a stage controller, which is inactive until it is started.
     *
     * @param leaseSeconds the duration of the order lease, in seconds
     */
    public static StageController create(
            GatewayState state,
            Store store,
            OrderProtocol protocol,
            CoordinatorCalls calls,
            long leaseSeconds,
            PendingOrders pending,
            DecisionLog log,
            Ticker ticker) {
        return new StageController(
                state,
                new OrderLease(store, calls.self().id(), leaseSeconds, ticker),
                new EngineReportClient(protocol),
                new OrderClient(protocol, calls.self().id()),
                pending,
                calls::isCoordinator,
                log,
                ticker);
    }
}
