package org.fuchsiaford.entry.gateway.order;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.EngineReport;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.order.OrderLeaseTerm;
import org.fuchsiaford.order.PendingOrders;
import org.fuchsiaford.order.StageOrder;
import org.fuchsiaford.order.StagePolicy;
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
 * Orders engines to take the part that {@link StagePolicy} gives them, if no other host does.
 *
 * <p>Invariant: an order is sent only within this host's tenure, names the server's run and depends
 * on the number of orders that the server had accepted; an order without an answer counts as
 * pending for as long as it may still be carried out. Thread-safe.
 */
public final class StageController {
    private static final int ACCEPTED = 202;
    private static final Duration INTERVAL = Duration.ofMillis(1_000);

    /** An order without an answer may be carried out within this time. */
    private static final long PENDING_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** The registry must have asked for the same order for this long, so a start-up settles. */
    private static final long SETTLED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final GatewayState mState;
    private final OrderLease mLease;
    private final OrderClient mClient;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final PendingOrders mPending;
    private final Disposable.Swap mTask = Disposables.swap();
    private Optional<StageOrder> mWanted = Optional.empty();
    private long mWantedSinceNanos;

    /** Creates a keeper that does nothing yet. */
    public StageController(
            GatewayState state,
            OrderLease lease,
            OrderClient client,
            PendingOrders pending,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mLease = lease;
        mClient = client;
        mPending = pending;
        mLog = log;
        mTicker = ticker;
    }

    /** Starts to look for orders to give. */
    public void start() {
        mTask.update(
                Mono.defer(this::round)
                        .onErrorResume(e -> Mono.fromRunnable(() -> failed(e)))
                        .then(Mono.delay(INTERVAL))
                        .repeat()
                        .subscribe());
    }

    /** Stops and gives the right to order up. */
    public Mono<Void> stop() {
        mTask.dispose();
        return mLease.release();
    }

    private void failed(Throwable cause) {
        mLog.write(new Decision.OrderHolder("failed", 0, String.valueOf(cause.getMessage())));
    }

    private Mono<Void> round() {
        long nowNanos = mTicker.nowNanos();
        mPending.refresh(services().flatMap(s -> engines(s, nowNanos).stream()).toList(), nowNanos);
        Optional<StageOrder> order = nextOrder(nowNanos);
        Optional<OrderLeaseTerm> tenure = mLease.currentTerm();
        if (order.isEmpty()) {
            return tenure.isPresent() && mPending.engines().isEmpty()
                    ? mLease.release().doOnSuccess(done -> logHolder("released", tenure.get()))
                    : tenure.isPresent() ? mLease.renew() : Mono.empty();
        }
        if (tenure.isEmpty()) {
            return isSettled(order.get(), nowNanos) && !isHeld() ? acquire() : Mono.empty();
        }
        return mLease.renew().then(Mono.defer(() -> giveIfAllowed(order.get())));
    }

    private Mono<Void> acquire() {
        return mLease.acquire().doOnNext(tenure -> logHolder("acquired", tenure)).then();
    }

    private void logHolder(String state, OrderLeaseTerm tenure) {
        mLog.write(new Decision.OrderHolder(state, tenure.fence(), null));
    }

    private boolean isHeld() {
        return mState.entries().stream()
                .anyMatch(entry -> entry.key().equals(StoreKeys.ORDER_HOLDER));
    }

    private synchronized boolean isSettled(StageOrder order, long nowNanos) {
        if (!mWanted.equals(Optional.of(order))) {
            mWanted = Optional.of(order);
            mWantedSinceNanos = nowNanos;
        }
        return nowNanos - mWantedSinceNanos >= SETTLED_NANOS;
    }

    private Optional<StageOrder> nextOrder(long nowNanos) {
        return services()
                .map(service -> nextOrder(engines(service, nowNanos), service.engine().get()))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<StageOrder> nextOrder(List<LiveServer> engines, EngineCapacity capacity) {
        double usedShare = mPending.usedMemoryFraction(engines, capacity);
        return StagePolicy.next(engines, mPending.engines(), usedShare);
    }

    private Stream<ServiceDeclaration> services() {
        return mState.table().map(RoutingTable::services).orElse(List.of()).stream()
                .filter(service -> service.engine().isPresent());
    }

    private List<LiveServer> engines(ServiceDeclaration service, long nowNanos) {
        return mState.servers().usable(service.id(), nowNanos);
    }

    private Mono<Void> giveIfAllowed(StageOrder order) {
        Optional<OrderLeaseTerm> tenure =
                mLease.currentTerm().filter(t -> t.mayOrder(mTicker.nowNanos()));
        return tenure.isPresent() ? give(order, tenure.get()) : Mono.empty();
    }

    private Mono<Void> give(StageOrder order, OrderLeaseTerm tenure) {
        return mClient.report(order.engine())
                .doOnNext(report -> setPending(order))
                .filter(
                        report ->
                                !report.busy()
                                        && !report.stage().equals(Optional.of(order.stage())))
                .flatMap(report -> send(order, report, tenure));
    }

    private Mono<Void> send(StageOrder order, EngineReport report, OrderLeaseTerm tenure) {
        // The report may have taken a while; the tenure decides at the moment of sending.
        if (!mLease.currentTerm().map(t -> t.mayOrder(mTicker.nowNanos())).orElse(false)) {
            return Mono.empty();
        }
        return mClient.order(order, tenure.fence(), report.acceptedOrders())
                .doOnNext(status -> logOrder(order, tenure, "status " + status))
                .filter(status -> status == ACCEPTED)
                .doOnNext(status -> accepted(order))
                .doOnError(e -> logOrder(order, tenure, "no answer: " + e.getMessage()))
                .then();
    }

    private void setPending(StageOrder order) {
        mPending.add(order, mTicker.nowNanos() + PENDING_NANOS);
    }

    private void accepted(StageOrder order) {
        services()
                .filter(service -> service.id().equals(order.engine().service()))
                .findAny()
                .flatMap(ServiceDeclaration::engine)
                .ifPresent(capacity -> mPending.accept(order, capacity));
    }

    private void logOrder(StageOrder order, OrderLeaseTerm tenure, String outcome) {
        mLog.write(
                new Decision.Ordered(
                        order.engine().id().value(),
                        order.stage().name(),
                        tenure.fence(),
                        outcome));
    }
}
