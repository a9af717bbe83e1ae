package org.fuchsiaford.entry.gateway.order;

import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.OrderProtocol;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.PendingOrders;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;

/** Wires what gives orders. Stateless, hence thread-safe. */
public final class StageControllerFactory {
    private StageControllerFactory() {}

    /**
     * Creates a keeper.
     *
     * @param leaseSeconds the life of the right to order without renewal
     */
    public static StageController create(
            GatewayState state,
            Store store,
            OrderProtocol protocol,
            HostId self,
            long leaseSeconds,
            PendingOrders pending,
            DecisionLog log,
            Ticker ticker) {
        return new StageController(
                state,
                new OrderLease(store, self, leaseSeconds, ticker),
                new OrderClient(protocol, self),
                pending,
                log,
                ticker);
    }
}
