package org.fuchsiaford.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.selection.LoadTracker;

/** How long an engine that was ordered to switch its stage counts as full. */
class PendingOrdersTest {
    private static final EngineCapacity CAPACITY = new EngineCapacity(8, 50_000, 500);

    private final LoadTracker mLoads = new LoadTracker();
    private final AtomicInteger mReports = new AtomicInteger();
    private final PendingOrders mPending = new PendingOrders(mLoads, mReports::incrementAndGet);
    private final LiveServer mEngine = TestServers.engine("d", EngineStage.DECODE);
    private final StageOrder mOrder = new StageOrder(mEngine, EngineStage.PREFILL);

    private int requests() {
        return mLoads.total(mEngine.id()).requests();
    }

    private void order() {
        mPending.add(mOrder, 100);
        mPending.recordAccepted(mOrder, CAPACITY);
        mPending.recordAccepted(mOrder, CAPACITY);
    }

    @Example
    void anEngineThatIsSwitchingCountsAsFullOnce() {
        order();
        mPending.refresh(List.of(mEngine), 99);
        assertThat(requests()).isEqualTo(CAPACITY.maxConcurrentRequests());
        assertThat(mReports.get()).isEqualTo(1);
        assertThat(mPending.engines()).containsExactly(mEngine.id());
    }

    @Example
    void anEngineThatHasSwitchedAcceptsRequestsAndOrders() {
        order();
        mPending.refresh(List.of(TestServers.engine("d", EngineStage.PREFILL)), 50);
        assertThat(requests()).isZero();
        assertThat(mPending.engines()).isEmpty();
    }

    @Example
    void anUnacceptedOrderStaysPendingEvenIfTheStageHasChanged() {
        mPending.add(mOrder, 100);
        mPending.refresh(List.of(TestServers.engine("d", EngineStage.PREFILL)), 50);
        assertThat(mPending.engines()).containsExactly(mEngine.id());
    }

    @Example
    void anEngineThatIsRemovedOrNeverSwitchesStopsCountingAsFull() {
        order();
        mPending.refresh(List.of(), 50);
        assertThat(mPending.fullEngineCount()).isZero();
        order();
        mPending.refresh(List.of(mEngine), 100);
        assertThat(requests()).isZero();
        assertThat(mPending.engines()).isEmpty();
    }

    @Example
    void theUsedKvCacheFractionCountsDecodeEnginesOnly() {
        LiveServer prefill = TestServers.engine("p", EngineStage.PREFILL);
        mLoads.add(new ServerLoad(mEngine.id(), 1, 10_000, 0));
        mLoads.add(new ServerLoad(prefill.id(), 1, 50_000, 0));
        assertThat(mPending.usedKvCacheFraction(List.of(mEngine, prefill), CAPACITY))
                .isEqualTo(0.2);
    }

    @Example
    void anUnacceptedOrderAddsNoLoad() {
        mPending.add(mOrder, 100);
        assertThat(requests()).isZero();
    }
}
