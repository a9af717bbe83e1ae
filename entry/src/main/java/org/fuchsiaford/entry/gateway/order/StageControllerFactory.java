package org.fuchsiaford.entry.gateway.order;

import org.fuchsiaford.entry.gateway.engine.EngineReportClient;
import org.fuchsiaford.entry.gateway.fleet.Coordination;
import org.fuchsiaford.entry.gateway.fleet.CoordinatorCalls;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.OrderProtocol;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.metrics.ServiceMetrics;
import org.fuchsiaford.order.PendingOrders;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;

/** Creates the stage controller of a host with its components. Immutable, hence thread-safe. */
public final class StageControllerFactory {
    private final GatewayState mState;
    private final Store mStore;
    private final OrderProtocol mProtocol;
    private final Coordination mCoordination;
    private final LoadTracker mLoads;
    private final ServiceMetrics mMetrics;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /** Creates a factory. */
    public StageControllerFactory(
            GatewayState state,
            Store store,
            OrderProtocol protocol,
            Coordination coordination,
            LoadTracker loads,
            ServiceMetrics metrics,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mStore = store;
        mProtocol = protocol;
        mCoordination = coordination;
        mLoads = loads;
        mMetrics = metrics;
        mLog = log;
        mTicker = ticker;
    }

    /**
     * Creates the stage controller, which is inactive until it is started.
     *
     * @param leaseSeconds the duration of the order lease, in seconds
     * @param measuredSplit whether the number of prefill engines follows the measured load
     */
    public StageController create(long leaseSeconds, boolean measuredSplit) {
        CoordinatorCalls calls = mCoordination.calls();
        PendingOrders pending = new PendingOrders(mLoads, mCoordination.dispatcher()::dispatch);
        return new StageController(
                mState,
                new OrderLease(mStore, calls.self().id(), leaseSeconds, mTicker),
                new EngineReportClient(mProtocol),
                new OrderClient(mProtocol, calls.self().id()),
                pending,
                new StageChooser(
                        measuredSplit,
                        pending,
                        mCoordination.scheduler(),
                        calls::isCoordinator,
                        mLog),
                calls::isCoordinator,
                mMetrics,
                mLog,
                mTicker);
    }
}
