package org.fuchsiaford.entry.gateway.order;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.order.PendingOrders;
import org.fuchsiaford.order.StageChoice;
import org.fuchsiaford.order.StageOrder;
import org.fuchsiaford.order.StagePolicy;
import org.fuchsiaford.order.StageSplitPolicy;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.selection.EngineDemand;
import org.fuchsiaford.selection.EngineScheduler;

/**
 * Chooses the next stage order of each service: by the measured load if the settings ask for it and
 * the declaration tells how long an order takes, otherwise by a fixed share.
 *
 * <p>Invariant: only load that this host has measured as the coordinator counts. Thread-safe.
 */
final class StageChooser {
    private final boolean mMeasuredSplit;

    private final PendingOrders mPending;
    private final EngineScheduler mScheduler;
    private final BooleanSupplier mIsCoordinator;
    private final DecisionLog mLog;
    private final StageSplitPolicy mPolicy = new StageSplitPolicy();
    private final Map<ServiceId, StageOrder> mLogged = new HashMap<>();

    /**
     * Creates a chooser.
     *
     * @param measuredSplit whether to choose by the measured load
     */
    StageChooser(
            boolean measuredSplit,
            PendingOrders pending,
            EngineScheduler scheduler,
            BooleanSupplier isCoordinator,
            DecisionLog log) {
        mMeasuredSplit = measuredSplit;
        mPending = pending;
        mScheduler = scheduler;
        mIsCoordinator = isCoordinator;
        mLog = log;
    }

    /** Forgets the load that was measured unless this host is the coordinator. */
    void resetUnlessCoordinator() {
        if (!mIsCoordinator.getAsBoolean()) {
            mScheduler.demand().reset();
            mPolicy.reset();
        }
    }

    /**
     * Returns the next order for the engines of a service, if any.
     *
     * @param engines the engines that accept new requests
     */
    synchronized Optional<StageOrder> next(
            ServiceId service, List<LiveServer> engines, EngineCapacity capacity, long nowNanos) {
        Set<BackendServerId> pending = mPending.engines();
        boolean isMeasured =
                mMeasuredSplit && engines.size() >= StageSplitPolicy.MIN_SERVICE_ENGINES;
        if (!isMeasured || capacity.reconfigureMillis() <= 0) {
            double usedFraction = mPending.usedKvCacheFraction(engines, capacity);
            return StagePolicy.next(engines, pending, usedFraction);
        }
        EngineDemand demand = mScheduler.demand();
        Optional<StageChoice> choice =
                mPolicy.next(
                        engines,
                        pending,
                        capacity,
                        demand.sample(service, nowNanos),
                        mScheduler.prefillTokensPerMilli(service),
                        nowNanos);
        choice.filter(c -> !c.order().equals(mLogged.put(service, c.order()))).ifPresent(this::log);
        if (choice.isEmpty()) {
            mLogged.remove(service);
        }
        return choice.map(StageChoice::order);
    }

    private void log(StageChoice choice) {
        mLog.write(
                new Decision.StageSplit(
                        choice.service().value(),
                        choice.order().engine().id().value(),
                        choice.order().stage().name(),
                        choice.prefillEngines(),
                        choice.decodeEngines(),
                        choice.wantedPrefillEngines(),
                        choice.servedPerSecond(),
                        choice.wantedServedPerSecond(),
                        choice.load().meanArrivalsPerSecond(),
                        (long) choice.load().promptTokens(),
                        choice.load().apartFraction(),
                        (long) choice.load().kvTokens(),
                        TimeUnit.NANOSECONDS.toMillis((long) choice.load().runNanos()),
                        choice.tokensPerMilli()));
    }
}
