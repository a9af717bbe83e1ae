package org.fuchsiaford.entry.gateway.order;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.fuchsiaford.entry.gateway.engine.EngineReportClient;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.EngineReport;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.metrics.ServiceMetrics;
import org.fuchsiaford.order.OrderLeaseTerm;
import org.fuchsiaford.order.PendingOrders;
import org.fuchsiaford.order.StageOrder;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.routing.ServiceDeclaration;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/**
 * Orders engines to switch to the stage that {@link StageChooser} assigns them, while this host is
 * the coordinator and no other host holds the order lease.
 *
 * <p>Invariant: an order is sent only within this host's term, names the run of the server and is
 * conditional on the number of orders that the server had accepted. An order without a response
 * counts as pending for as long as it may still be carried out. Thread-safe.
 */
public final class StageController {
    private static final int ACCEPTED = 202;
    private static final Duration INTERVAL = Duration.ofMillis(1_000);

    /**
     * Time in which an order without a response may still be carried out; the time that a change of
     * stage is declared to take comes on top.
     */
    private static final long PENDING_NANOS = TimeUnit.SECONDS.toNanos(15);

    /**
     * Time for which the registry must have called for the same order, so that no order is sent
     * while engines are still starting.
     */
    private static final long STABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final GatewayState mState;
    private final OrderLease mLease;
    private final EngineReportClient mReports;
    private final OrderClient mClient;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final PendingOrders mPending;
    private final StageChooser mChooser;
    private final BooleanSupplier mIsCoordinator;
    private final ServiceMetrics mMetrics;
    private final Disposable.Swap mRounds = Disposables.swap();
    private Optional<StageOrder> mNextOrder = Optional.empty();
    private long mNextOrderSinceNanos;

    /** Creates a controller; it is inactive until {@link #start} is called. */
    StageController(
            GatewayState state,
            OrderLease lease,
            EngineReportClient reports,
            OrderClient client,
            PendingOrders pending,
            StageChooser chooser,
            BooleanSupplier isCoordinator,
            ServiceMetrics metrics,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mLease = lease;
        mReports = reports;
        mClient = client;
        mPending = pending;
        mChooser = chooser;
        mIsCoordinator = isCoordinator;
        mMetrics = metrics;
        mLog = log;
        mTicker = ticker;
    }

    /** Starts to check periodically whether an order is needed. */
    public void start() {
        mRounds.update(
                Mono.defer(this::runRound)
                        .onErrorResume(e -> Mono.fromRunnable(() -> logFailure(e)))
                        .then(Mono.delay(INTERVAL))
                        .repeat()
                        .subscribe());
    }

    /** Stops and releases the order lease. */
    public Mono<Void> stop() {
        mRounds.dispose();
        return mLease.release();
    }

    private void logFailure(Throwable cause) {
        mLog.write(new Decision.OrderHolder("failed", 0, String.valueOf(cause.getMessage())));
    }

    private Mono<Void> runRound() {
        long nowNanos = mTicker.nowNanos();
        mChooser.resetUnlessCoordinator();
        mPending.refresh(
                engineServices().flatMap(s -> engines(s, nowNanos).stream()).toList(), nowNanos);
        Optional<StageOrder> order = nextOrder(nowNanos);
        Optional<OrderLeaseTerm> term = mLease.currentTerm();
        if (order.isEmpty()) {
            return term.isPresent() && mPending.engines().isEmpty()
                    ? mLease.release().doOnSuccess(released -> logHolder("released", term.get()))
                    : term.isPresent() ? mLease.renew() : Mono.empty();
        }
        if (term.isEmpty()) {
            return mIsCoordinator.getAsBoolean()
                            && isStable(order.get(), nowNanos)
                            && !isLeaseHeld()
                    ? acquire()
                    : Mono.empty();
        }
        return mLease.renew().then(Mono.defer(() -> sendWithinTerm(order.get())));
    }

    private Mono<Void> acquire() {
        return mLease.acquire().doOnNext(term -> logHolder("acquired", term)).then();
    }

    private void logHolder(String state, OrderLeaseTerm term) {
        mLog.write(new Decision.OrderHolder(state, term.fence(), null));
    }

    private boolean isLeaseHeld() {
        return mState.entries().stream()
                .anyMatch(entry -> entry.key().equals(StoreKeys.ORDER_HOLDER));
    }

    private synchronized boolean isStable(StageOrder order, long nowNanos) {
        if (!mNextOrder.equals(Optional.of(order))) {
            mNextOrder = Optional.of(order);
            mNextOrderSinceNanos = nowNanos;
        }
        return nowNanos - mNextOrderSinceNanos >= STABLE_NANOS;
    }

    /** Every service is looked at in each round, since its load is judged over time. */
    private Optional<StageOrder> nextOrder(long nowNanos) {
        List<Optional<StageOrder>> orders =
                engineServices()
                        .map(
                                service ->
                                        mChooser.next(
                                                service.id(),
                                                engines(service, nowNanos),
                                                service.engine().get(),
                                                nowNanos))
                        .toList();
        return orders.stream().flatMap(Optional::stream).findFirst();
    }

    private Stream<ServiceDeclaration> engineServices() {
        return mState.table().map(RoutingTable::services).orElse(List.of()).stream()
                .filter(service -> service.engine().isPresent());
    }

    private List<LiveServer> engines(ServiceDeclaration service, long nowNanos) {
        return mState.servers().usable(service.id(), nowNanos);
    }

    private Mono<Void> sendWithinTerm(StageOrder order) {
        Optional<OrderLeaseTerm> term =
                mLease.currentTerm().filter(t -> t.mayOrder(mTicker.nowNanos()));
        return term.isPresent() ? readReportAndSend(order, term.get()) : Mono.empty();
    }

    private Mono<Void> readReportAndSend(StageOrder order, OrderLeaseTerm term) {
        return mReports.read(order.engine())
                .doOnNext(report -> addPending(order))
                .filter(
                        report ->
                                !report.busy()
                                        && !report.stage().equals(Optional.of(order.stage())))
                .flatMap(report -> send(order, report, term));
    }

    private Mono<Void> send(StageOrder order, EngineReport report, OrderLeaseTerm term) {
        // The report may have taken long; the term must be valid at the time of sending.
        if (!mLease.currentTerm().map(t -> t.mayOrder(mTicker.nowNanos())).orElse(false)) {
            return Mono.empty();
        }
        return mClient.sendOrder(order, term.fence(), report.acceptedOrders())
                .doOnNext(status -> logOrder(order, term, "status " + status))
                .filter(status -> status == ACCEPTED)
                .doOnNext(status -> markAccepted(order))
                .doOnError(e -> logOrder(order, term, "no answer: " + e.getMessage()))
                .then();
    }

    private void addPending(StageOrder order) {
        long changeNanos =
                capacity(order)
                        .map(EngineCapacity::reconfigureMillis)
                        .map(TimeUnit.MILLISECONDS::toNanos)
                        .orElse(0L);
        mPending.add(order, mTicker.nowNanos() + PENDING_NANOS + changeNanos);
    }

    private void markAccepted(StageOrder order) {
        capacity(order).ifPresent(capacity -> mPending.recordAccepted(order, capacity));
        mMetrics.countStageOrder(order.engine().service(), order.stage());
    }

    private Optional<EngineCapacity> capacity(StageOrder order) {
        return engineServices()
                .filter(service -> service.id().equals(order.engine().service()))
                .findAny()
                .flatMap(ServiceDeclaration::engine);
    }

    private void logOrder(StageOrder order, OrderLeaseTerm term, String outcome) {
        mLog.write(
                new Decision.Ordered(
                        order.engine().id().value(), order.stage().name(), term.fence(), outcome));
    }
}
