package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fairness.Kind;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;

/** How seats are granted and return, and when a host asks for them. */
class SeatBookTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long NOW = TimeUnit.SECONDS.toNanos(5);
    private static final HostId HOST = new HostId("h");

    /** Six that the server runs and three that it may queue. */
    private static final int SEATS = 9;

    private final LiveServer mServer = TestServers.plain("p", "d");
    private final LoadTracker mLoads = new LoadTracker();
    private final ServerHealth mHealth = new ServerHealth();
    private final SeatBook mBook =
            new SeatBook(new HostId("self"), pool(), mLoads, mHealth, () -> 0.5);

    private EnginePool pool() {
        return new EnginePool() {
            @Override
            public List<LiveServer> usable(ServiceId service, long nowNanos) {
                return List.of(mServer);
            }

            @Override
            public EngineCapacity capacity(ServiceId service) {
                return new EngineCapacity(Integer.MAX_VALUE, Long.MAX_VALUE, 0);
            }
        };
    }

    private static SeatRequest request(String id, long deadlineNanos, BackendServerId... excluded) {
        return new SeatRequest(
                HOST,
                new FailureDomainId("d"),
                new RequestId(id),
                TestServers.SERVICE,
                new Kind("route", 0),
                null,
                Set.of(excluded),
                NOW + 390 * MILLI,
                deadlineNanos);
    }

    private SeatAnswer submit(String id) {
        return mBook.submit(request(id, NOW + 1_517 * MILLI), NOW);
    }

    private void takeAllSeats() {
        IntStream.range(0, SEATS)
                .forEach(
                        i -> assertThat(submit("full" + i)).isInstanceOf(SeatAnswer.Granted.class));
    }

    private int taken() {
        return mLoads.totals().stream().mapToInt(ServerLoad::requests).sum();
    }

    @Example
    void aSeatGoesToTheNextRequestOnceItIsFree() {
        takeAllSeats();
        assertThat(submit("next")).isInstanceOf(SeatAnswer.Waiting.class);
        assertThat(mBook.dispatch(NOW)).isEmpty();
        mBook.complete(new RequestId("full3"), 50 * MILLI);
        mBook.complete(new RequestId("full3"), 50 * MILLI);
        assertThat(mBook.dispatch(NOW))
                .singleElement()
                .isInstanceOfSatisfying(
                        SeatAnswer.Granted.class,
                        grant ->
                                assertThat(grant.request().request())
                                        .isEqualTo(new RequestId("next")));
        assertThat(taken()).isEqualTo(SEATS);
    }

    /** A lost answer must not take a second seat. */
    @Example
    void aRequestThatIsSentAgainKeepsItsSeat() {
        assertThat(submit("r")).isEqualTo(submit("r"));
        assertThat(taken()).isEqualTo(1);
    }

    @Example
    void aRequestThatCannotBeAnsweredIsRefusedAtOnceWithTheWait() {
        takeAllSeats();
        IntStream.range(0, 6).forEach(i -> submit("waiting" + i));
        assertThat(mBook.submit(request("late", NOW + 60 * MILLI), NOW))
                .isInstanceOfSatisfying(
                        SeatAnswer.Refused.class,
                        refused -> assertThat(refused.retryMillis()).isBetween(50L, 600L));
    }

    @Example
    void seatsOfAHostThatIsGoneOrDoesNotReportThemReturn() {
        takeAllSeats();
        mBook.reconcile(HOST, List.of(new RequestId("full0")), NOW + 1_000 * MILLI);
        assertThat(taken()).isEqualTo(SEATS);
        mBook.reconcile(HOST, List.of(new RequestId("full0")), NOW + 1_300 * MILLI);
        assertThat(taken()).isEqualTo(1);
        mBook.removeHost(HOST);
        assertThat(taken()).isZero();
    }

    @Example
    void aRequestThatNobodyAsksForLeavesTheBook() {
        takeAllSeats();
        submit("silent");
        mBook.dispatch(NOW + 1_100 * MILLI);
        assertThat(mBook.isIdle()).isTrue();
    }

    /** A request that waits for one server must not keep others from the free seats. */
    @Example
    void aRequestThatExcludesTheFreeServerBlocksNobody() {
        takeAllSeats();
        mBook.submit(request("elsewhere", NOW + 1_517 * MILLI, mServer.id()), NOW);
        submit("next");
        mBook.release(new RequestId("full0"));
        assertThat(mBook.dispatch(NOW)).hasSize(1);
        assertThat(mBook.poll(HOST, new RequestId("elsewhere"), NOW))
                .get()
                .isInstanceOf(SeatAnswer.Waiting.class);
    }

    @Example
    void aRejectionLowersWhatAServerQueuesAndAnswersRaiseIt() {
        SeatCount seats = new SeatCount();
        assertThat(seats.of(mServer)).isEqualTo(SEATS);
        seats.recordRejection(mServer);
        seats.recordRejection(mServer);
        seats.recordRejection(mServer);
        assertThat(seats.of(mServer)).isEqualTo(mServer.maxConcurrentRequests());
        IntStream.range(0, 500).forEach(i -> seats.recordAnswer(mServer));
        assertThat(seats.of(mServer)).isEqualTo(SEATS);
    }

    /** Otherwise nobody would find out that the only server has recovered. */
    @Example
    void aPausedServerIsUsedIfThereIsNoOther() {
        mHealth.recordOutcome(mServer.id(), AttemptOutcome.NOT_SENT, 0, NOW);
        assertThat(mHealth.isPaused(mServer.id(), NOW)).isTrue();
        assertThat(submit("r")).isInstanceOf(SeatAnswer.Granted.class);
    }

    /** While a service is calm, no call is added. */
    @Example
    void aHostAsksForSeatsOnlyWhileAServiceIsNearFull() {
        SeatDemand demand = new SeatDemand(mLoads);
        List<LiveServer> servers = List.of(mServer);
        mLoads.add(new ServerLoad(mServer.id(), 4, 0, 0));
        assertThat(demand.isNearFull(TestServers.SERVICE, servers, NOW)).isFalse();
        mLoads.add(new ServerLoad(mServer.id(), 1, 0, 0));
        assertThat(demand.isNearFull(TestServers.SERVICE, servers, NOW)).isTrue();
        mLoads.remove(new ServerLoad(mServer.id(), 5, 0, 0));
        assertThat(demand.isNearFull(TestServers.SERVICE, servers, NOW + 900 * MILLI)).isTrue();
        assertThat(demand.isNearFull(TestServers.SERVICE, servers, NOW + 1_100 * MILLI)).isFalse();
        demand.recordFull(TestServers.SERVICE, NOW + 1_200 * MILLI);
        assertThat(demand.isNearFull(TestServers.SERVICE, servers, NOW + 1_300 * MILLI)).isTrue();
    }
}
