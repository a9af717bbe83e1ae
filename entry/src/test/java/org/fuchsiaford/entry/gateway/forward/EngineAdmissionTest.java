package org.fuchsiaford.entry.gateway.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.entry.gateway.fleet.CoordinatorCalls;
import org.fuchsiaford.entry.gateway.fleet.EngineDispatcher;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.gateway.protocol.StateDecoder;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.fleet.CoordinatorTracker;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.registry.ServerBackoff;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.routing.RequestKind;
import org.fuchsiaford.routing.RequestLimits;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.routing.ServiceDeclaration;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.routing.WeightedService;
import org.fuchsiaford.selection.EnginePlanner;
import org.fuchsiaford.selection.EngineQueue;
import org.fuchsiaford.selection.EngineQueues;
import org.fuchsiaford.selection.EngineScheduler;
import org.fuchsiaford.selection.HeldEngines;
import org.fuchsiaford.selection.LoadTracker;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.selection.StreamPace;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;

/** Requests for an engine whose KV cache has capacity for two requests. */
class EngineAdmissionTest {
    private static final ServiceId SERVICE = new ServiceId("llm");
    private static final FailureDomainId DOMAIN = new FailureDomainId("z");
    private static final ServiceId OTHER_SERVICE = new ServiceId("other");
    private static final BackendServerId ENGINE = new BackendServerId("e");
    private static final TokenCounts SIZE = new TokenCounts(4_000, 1_000, 1_000);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LoadTracker mLoads = new LoadTracker();
    private final EngineQueues mQueues = new EngineQueues();
    private final EngineQueue mQueue = mQueues.of(SERVICE);
    private final Ticker mTicker = () -> SECOND;
    private final EngineAdmission mAdmission = admission();
    private final List<RequestContext> mContexts = new ArrayList<>();
    private final List<EngineAssignment> mAssignments = new ArrayList<>();
    private final List<Throwable> mErrors = new ArrayList<>();
    private int mRequests;

    /** Decodes a fixed routing table and engines named by their keys, whatever the stored value. */
    private static final class FixedDecoder implements StateDecoder {
        @Override
        public List<StoreKey> prefixes() {
            return List.of();
        }

        @Override
        public boolean isRoutingTable(StoreKey key) {
            return key.value().equals("table");
        }

        @Override
        public Optional<BackendServerId> serverId(StoreKey key) {
            return key.value().length() == 1
                    ? Optional.of(new BackendServerId(key.value()))
                    : Optional.empty();
        }

        @Override
        public Optional<FailureDomainId> evacuatedDomain(StoreKey key) {
            return Optional.empty();
        }

        @Override
        public RoutingTable readRoutingTable(byte[] value) {
            EngineCapacity capacity = new EngineCapacity(8, 10_000, 500);
            return new RoutingTable(
                    1,
                    RequestLimits.DEFAULT,
                    List.of(route()),
                    List.of(
                            new ServiceDeclaration(SERVICE, Optional.of(capacity)),
                            new ServiceDeclaration(OTHER_SERVICE, Optional.of(capacity))),
                    List.of());
        }

        @Override
        public LiveServer readServer(BackendServerId id, byte[] value) {
            return new LiveServer(
                    id,
                    id.equals(ENGINE) ? SERVICE : OTHER_SERVICE,
                    new ServerAddress("127.0.0.1", 1),
                    DOMAIN,
                    new SoftwareVersion("v1"),
                    8,
                    Optional.of(EngineStage.DECODE),
                    false,
                    1);
        }
    }

    private static GatewayRoute route() {
        return new GatewayRoute(
                "r",
                "h",
                "/",
                RequestKind.STREAM,
                14_000,
                900,
                300,
                1,
                1,
                true,
                List.of(new WeightedService(SERVICE, 1)));
    }

    private EngineAdmission admission() {
        // With short runs observed, the estimated wait is short enough for requests to be queued.
        IntStream.range(0, 20).forEach(i -> mQueue.observeRunDuration(SIZE, 0));
        DecisionLog log = new DecisionLog("host");
        FleetView fleet =
                new FleetView(
                        new HostRecord(new HostId("self"), DOMAIN, "1.1.1.1:1", "1.1.1.1:2", 1));
        GatewayState state =
                new GatewayState(
                        new FixedDecoder(),
                        new ServerRegistry(),
                        fleet,
                        log,
                        mTicker,
                        (s, b) -> {});
        byte[] anyValue = "any".getBytes(StandardCharsets.UTF_8);
        state.apply(new StoreChange(new StoreKey("table"), anyValue, 1));
        state.apply(new StoreChange(new StoreKey("e"), anyValue, 2));
        state.apply(new StoreChange(new StoreKey("o"), anyValue, 3));
        ServerHealth health = new ServerHealth();
        PromptQuarantine quarantine = new PromptQuarantine();
        EngineScheduler scheduler =
                new EngineScheduler(
                        fleet.self().id(),
                        state,
                        mLoads,
                        new EnginePlanner(mLoads, health, () -> 0),
                        mQueues,
                        service -> 0,
                        quarantine,
                        state.versions(),
                        new ServerRateLimiter(new ServerLimits(), () -> 1),
                        () -> 0);
        // The host knows no other, so it coordinates itself.
        CoordinatorCalls calls =
                new CoordinatorCalls(
                        fleet.self(), new CoordinatorTracker(fleet, 0), null, log, mTicker);
        return new EngineAdmission(
                state,
                new ServerBackoff(),
                calls,
                new EngineDispatcher(scheduler, quarantine, health, log, mTicker),
                mLoads,
                new HeldEngines(),
                log,
                mTicker);
    }

    private Disposable acquire(long deadlineNanos) {
        return acquire(SERVICE, deadlineNanos);
    }

    private Disposable acquire(ServiceId service, long deadlineNanos) {
        CallerRequest caller =
                new CallerRequest(
                        new RequestId("r" + mRequests++),
                        HttpMethod.POST,
                        "/",
                        "/",
                        "h",
                        new DefaultHttpHeaders(),
                        Optional.empty(),
                        deadlineNanos,
                        Optional.of(SIZE),
                        List.of(),
                        Optional.empty(),
                        Optional.empty());
        RequestContext context =
                new RequestContext(
                        caller,
                        new byte[0],
                        route(),
                        service,
                        Optional.empty(),
                        SECOND,
                        deadlineNanos);
        return mAdmission
                .acquire(context)
                .subscribe(
                        assignment -> {
                            mContexts.add(context);
                            mAssignments.add(assignment);
                        },
                        mErrors::add);
    }

    private void release(int index) {
        mAssignments.get(index).hold().complete(0, StreamPace.UNKNOWN);
    }

    private int requestsOnEngine() {
        return mLoads.total(ENGINE).requests();
    }

    @Example
    void anAssignmentFromTheQueueStaysReservedUntilItIsReleased() {
        for (int i = 0; i < 3; i++) {
            acquire(15 * SECOND);
        }
        assertThat(mAssignments).hasSize(2);
        assertThat(requestsOnEngine()).isEqualTo(2);

        release(0);

        assertThat(mAssignments).hasSize(3);
        assertThat(requestsOnEngine()).isEqualTo(2);
        release(1);
        release(2);
        assertThat(mLoads.localLoads()).isEmpty();
    }

    @Example
    void aCancelledRequestIsAssignedNoEngine() {
        acquire(15 * SECOND);
        acquire(15 * SECOND);
        Disposable third = acquire(15 * SECOND);
        acquire(15 * SECOND);
        third.dispose();

        release(0);

        assertThat(mAssignments).hasSize(3);
        assertThat(requestsOnEngine()).isEqualTo(2);
        assertThat(mQueue.isEmpty()).isTrue();
    }

    @Example
    void aRequestWithTheIdOfAQueuedRequestIsRefused() {
        acquire(15 * SECOND);
        acquire(15 * SECOND);
        acquire(15 * SECOND);
        mRequests--;
        acquire(15 * SECOND);

        assertThat(mErrors).hasSize(1);
        release(0);
        assertThat(mAssignments).hasSize(3);
        release(1);
        release(2);
        assertThat(mLoads.localLoads()).isEmpty();
        assertThat(mQueue.isEmpty()).isTrue();
    }

    @Example
    void aRequestThatCannotBeServedInTimeIsRefusedAtOnceWithARetryDelay() {
        acquire(15 * SECOND);
        acquire(15 * SECOND);
        acquire(SECOND + SECOND / 2);

        assertThat(mErrors).hasSize(1);
        RefusalException refusal = (RefusalException) mErrors.get(0);
        assertThat(refusal.reason().status()).isEqualTo(503);
        assertThat(refusal.retryAfterMillis()).isPositive();
    }

    /**
     * Runs take four seconds here. The retry delay must leave time for a run and its estimation
     * margin, about one and a third of that, before the deadline.
     */
    @Example
    void theRetryDelayCoversOneKvCacheTurnoverAndLeavesTimeForARun() {
        IntStream.range(0, 100).forEach(i -> mQueue.observeRunDuration(SIZE, 4 * SECOND));
        IntStream.range(0, 4).forEach(i -> acquire(15 * SECOND));
        IntStream.range(0, 2).forEach(i -> acquire(8 * SECOND));

        List<Long> retryMillis =
                mErrors.stream().map(e -> ((RefusalException) e).retryAfterMillis()).toList();
        assertThat(retryMillis).hasSizeGreaterThanOrEqualTo(2);
        assertThat(retryMillis.get(0)).isBetween(3_500L, 4_500L);
        assertThat(retryMillis.get(retryMillis.size() - 1)).isBetween(500L, 2_100L);
    }

    @Example
    void aServiceWithoutCapacityDoesNotBlockOthers() {
        IntStream.range(0, 20).forEach(i -> mQueues.of(OTHER_SERVICE).observeRunDuration(SIZE, 0));
        acquire(15 * SECOND);
        acquire(15 * SECOND);
        acquire(15 * SECOND);
        assertThat(mAssignments).hasSize(2);

        acquire(OTHER_SERVICE, 15 * SECOND);
        acquire(OTHER_SERVICE, 15 * SECOND);
        assertThat(mAssignments).hasSize(4);

        acquire(OTHER_SERVICE, 15 * SECOND);
        release(2);
        assertThat(mAssignments).hasSize(5);
        assertThat(mContexts.get(4).service()).isEqualTo(OTHER_SERVICE);
    }
}
