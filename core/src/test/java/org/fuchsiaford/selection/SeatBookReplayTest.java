package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fairness.Kind;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.selection.LoadRequest.LoadKind;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Three plain servers of six seats that 91 hosts ask for twice over, replayed without a network:
 * with a book of seats, with two for a while, and with the choice that hosts make by themselves.
 */
class SeatBookReplayTest {
    private static final long MILLI = EngineReplay.MILLI;
    private static final long SECOND = EngineReplay.SECOND;
    private static final int SERVERS = 3;
    private static final int SEATS = 6;
    private static final int QUEUED_BY_SERVER = 24;
    private static final long RUN_NANOS = 86 * MILLI;
    private static final int HOSTS = 91;
    private static final int WORKSPACES = 16;
    private static final long TARGET_MILLIS = 390;
    private static final long DEADLINE_NANOS = 1_517 * MILLI;
    private static final long MESSAGE_NANOS = 2 * MILLI;

    /** Released seats are reported together with others after a delay. */
    private static final long RELEASE_NANOS = 10 * MILLI + MESSAGE_NANOS;

    private static final long HEARTBEAT_NANOS = 500 * MILLI;
    private static final long FROM_NANOS = 3 * SECOND;
    private static final long TO_NANOS = 8 * SECOND;
    private static final double MIN_OF_CAPACITY = 0.9;

    private static final List<LoadKind> KINDS =
            List.of(
                    new LoadKind("pay", 0, TARGET_MILLIS, 1, 0.3),
                    new LoadKind("look", 1, TARGET_MILLIS, 1, 0.4),
                    new LoadKind("list", 2, TARGET_MILLIS, 1, 0.3));

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
    private final List<LiveServer> mServers =
            IntStream.range(0, SERVERS).mapToObj(i -> TestServers.plain("p" + i, "d" + i)).toList();
    private final Map<BackendServerId, Integer> mAtServer = new HashMap<>();
    private final Map<BackendServerId, PriorityQueue<Long>> mSeatsFree = new HashMap<>();
    private final Map<RequestId, LoadRequest> mRequests = new HashMap<>();
    private final Set<RequestId> mWaiting = new HashSet<>();
    private final List<SeatBook> mBooks = new ArrayList<>();
    private final List<LoadTracker> mLoads = new ArrayList<>();
    private final List<List<ServerLoad>> mRemote = new ArrayList<>();
    private int mRejections;
    private int mMaxAtServer;

    private record Event(long atNanos, Runnable action) {}

    private final EnginePool mPool =
            new EnginePool() {
                @Override
                public List<LiveServer> usable(ServiceId service, long nowNanos) {
                    return mServers;
                }

                @Override
                public EngineCapacity capacity(ServiceId service) {
                    return new EngineCapacity(Integer.MAX_VALUE, Long.MAX_VALUE, 0);
                }
            };

    private void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, action));
    }

    private static List<LoadRequest> load(double times, Random random) {
        List<LoadRequest> load = new ArrayList<>();
        double perSecond = times * SERVERS * SEATS * SECOND / RUN_NANOS;
        double atNanos = FROM_NANOS;
        while (atNanos < TO_NANOS) {
            double pick = random.nextDouble();
            LoadKind kind = KINDS.get(pick < 0.3 ? 0 : pick < 0.7 ? 1 : 2);
            load.add(
                    new LoadRequest(
                            "r" + load.size(),
                            kind,
                            random.nextInt(WORKSPACES),
                            random.nextInt(HOSTS),
                            new TokenCounts(1, 0, 0),
                            (long) atNanos));
            atNanos += -Math.log(1 - random.nextDouble()) / perSecond * SECOND;
        }
        return load;
    }

    private void start(int books, Random random) {
        mServers.forEach(
                server ->
                        mSeatsFree.put(
                                server.id(),
                                new PriorityQueue<>(
                                        IntStream.range(0, SEATS).mapToObj(i -> 0L).toList())));
        for (int i = 0; i < books; i++) {
            LoadTracker loads = new LoadTracker();
            mLoads.add(loads);
            mRemote.add(List.of());
            mBooks.add(
                    new SeatBook(
                            new HostId("book" + i),
                            mPool,
                            loads,
                            new ServerHealth(),
                            random::nextDouble));
        }
        for (long t = FROM_NANOS; t < TO_NANOS + 3 * SECOND; t += 50 * MILLI) {
            long nowNanos = t;
            at(t, () -> tick(nowNanos));
        }
    }

    private void tick(long nowNanos) {
        if (nowNanos % HEARTBEAT_NANOS == 0) {
            exchangeLoads();
        }
        for (int i = 0; i < mBooks.size(); i++) {
            int book = i;
            List.copyOf(mWaiting)
                    .forEach(id -> mBooks.get(book).poll(host(mRequests.get(id)), id, nowNanos));
            dispatch(book, nowNanos);
        }
    }

    private void exchangeLoads() {
        List<List<ServerLoad>> own = new ArrayList<>();
        for (int i = 0; i < mLoads.size(); i++) {
            LoadTracker granted = new LoadTracker();
            mLoads.get(i).totals().forEach(granted::add);
            mRemote.get(i).forEach(granted::remove);
            own.add(granted.localLoads());
        }
        for (int i = 0; i < mLoads.size(); i++) {
            int book = i;
            mRemote.set(
                    i,
                    IntStream.range(0, own.size())
                            .filter(other -> other != book)
                            .mapToObj(own::get)
                            .flatMap(List::stream)
                            .toList());
            mLoads.get(i).replaceRemoteLoads(mRemote.get(i));
        }
    }

    private static HostId host(LoadRequest request) {
        return new HostId("h" + request.host());
    }

    private void ask(LoadRequest request, int book, long nowNanos) {
        RequestId id = new RequestId("q" + mRequests.size());
        mRequests.put(id, request);
        SeatRequest asked =
                new SeatRequest(
                        host(request),
                        new FailureDomainId(request.domain()),
                        id,
                        TestServers.SERVICE,
                        new Kind(request.route(), request.priority()),
                        new WorkspaceId(request.workspace()),
                        Set.of(),
                        request.arrivedNanos() + TARGET_MILLIS * MILLI,
                        request.arrivedNanos() + DEADLINE_NANOS);
        handle(mBooks.get(book).submit(asked, nowNanos), book, nowNanos);
    }

    private void dispatch(int book, long nowNanos) {
        mBooks.get(book).dispatch(nowNanos).forEach(answer -> handle(answer, book, nowNanos));
    }

    private void handle(SeatAnswer answer, int book, long nowNanos) {
        if (answer instanceof SeatAnswer.Granted granted) {
            mWaiting.remove(granted.request().request());
            at(nowNanos + MESSAGE_NANOS, () -> send(granted, book, nowNanos + MESSAGE_NANOS));
        } else if (answer instanceof SeatAnswer.Refused refused) {
            mWaiting.remove(refused.request().request());
        } else {
            mWaiting.add(((SeatAnswer.Waiting) answer).request().request());
        }
    }

    private void send(SeatAnswer.Granted granted, int book, long nowNanos) {
        RequestId id = granted.request().request();
        LoadRequest request = mRequests.get(id);
        long endNanos = run(granted.server(), nowNanos);
        if (endNanos < 0) {
            mBooks.get(book).reject(id);
            return;
        }
        request.recordFirstEvent(endNanos);
        at(
                endNanos + RELEASE_NANOS,
                () -> {
                    mBooks.get(book).complete(id, endNanos - nowNanos);
                    dispatch(book, endNanos + RELEASE_NANOS);
                });
    }

    /** Runs a request at a server; returns when it ends, or -1 if the server rejects it. */
    private long run(LiveServer server, long nowNanos) {
        int atServer = mAtServer.merge(server.id(), 1, Integer::sum);
        if (atServer > SEATS + QUEUED_BY_SERVER) {
            mAtServer.merge(server.id(), -1, Integer::sum);
            mRejections++;
            return -1;
        }
        mMaxAtServer = Math.max(mMaxAtServer, atServer);
        PriorityQueue<Long> seats = mSeatsFree.get(server.id());
        long endNanos = Math.max(nowNanos, seats.remove()) + RUN_NANOS;
        seats.add(endNanos);
        at(endNanos, () -> mAtServer.merge(server.id(), -1, Integer::sum));
        return endNanos;
    }

    private void runEvents() {
        while (!mEvents.isEmpty()) {
            mEvents.remove().action().run();
        }
    }

    private LoadFigures playBooks(String name, List<LoadRequest> load, int books, Random random) {
        start(books, random);
        load.forEach(
                request -> {
                    long atNanos = request.arrivedNanos() + MESSAGE_NANOS;
                    int book = books > 1 && isDivided(atNanos) ? request.host() % books : 0;
                    at(atNanos, () -> ask(request, book, atNanos));
                });
        runEvents();
        LoadFigures figures = LoadFigures.of(load);
        System.out.println(
                name + ": " + figures + ", rejected " + mRejections + ", most " + mMaxAtServer);
        return figures;
    }

    private static boolean isDivided(long nanos) {
        return nanos >= 5 * SECOND && nanos < 6_500 * MILLI;
    }

    /** Each host chooses by the loads of all hosts at the last heartbeat and its own. */
    private LoadFigures playHosts(List<LoadRequest> load, Random random) {
        start(0, random);
        List<LoadTracker> hosts =
                IntStream.range(0, HOSTS).mapToObj(i -> new LoadTracker()).toList();
        for (long t = FROM_NANOS; t < TO_NANOS + 3 * SECOND; t += HEARTBEAT_NANOS) {
            at(t, () -> exchange(hosts));
        }
        load.forEach(
                request ->
                        at(
                                request.arrivedNanos(),
                                () -> choose(request, hosts.get(request.host()), random)));
        runEvents();
        LoadFigures figures = LoadFigures.of(load);
        System.out.println("seats, hosts alone: " + figures + ", rejected " + mRejections);
        return figures;
    }

    private static void exchange(List<LoadTracker> hosts) {
        List<List<ServerLoad>> own = hosts.stream().map(LoadTracker::localLoads).toList();
        List<ServerLoad> all = own.stream().flatMap(List::stream).toList();
        for (int i = 0; i < hosts.size(); i++) {
            hosts.get(i).replaceFleetLoads(all, own.get(i));
        }
    }

    private void choose(LoadRequest request, LoadTracker loads, Random random) {
        long nowNanos = request.arrivedNanos();
        ServerSelector selector =
                new ServerSelector(
                        new FailureDomainId(request.domain()),
                        loads,
                        new ServerHealth(),
                        random::nextDouble);
        selector.pick(mServers, Set.of(), nowNanos)
                .ifPresent(
                        server -> {
                            long endNanos = run(server, nowNanos);
                            if (endNanos < 0) {
                                return;
                            }
                            ServerLoad load = new ServerLoad(server.id(), 1, 0, 0);
                            loads.add(load);
                            request.recordFirstEvent(endNanos);
                            at(endNanos, () -> loads.remove(load));
                        });
    }

    private static void assertEven(LoadFigures figures) {
        assertThat(figures.inversion()).as(figures.toString()).isLessThanOrEqualTo(0.05);
        assertThat(figures.worstKind()).as(figures.toString()).isGreaterThanOrEqualTo(0.25);
        assertThat(figures.worstDomain()).as(figures.toString()).isGreaterThanOrEqualTo(0.25);
        assertThat(figures.worstWorkspace()).as(figures.toString()).isGreaterThanOrEqualTo(0.25);
    }

    @Property(tries = 3, seed = "81")
    void seatsAskedForTwiceOverAreUsedInTime(@ForAll @IntRange(max = 1_000) int seed) {
        Random random = new Random(seed);
        LoadFigures figures = playBooks("seats, a book", load(2, random), 1, random);
        assertEven(figures);
        assertThat(figures.served()).isGreaterThan(MIN_OF_CAPACITY / 2);
        assertThat(mRejections).isZero();
    }

    /** Hosts disagree for a while; what was granted within a heartbeat may be granted twice. */
    @Property(tries = 3, seed = "82")
    void twoBooksOverbookByAHeartbeatOnly(@ForAll @IntRange(max = 1_000) int seed) {
        Random random = new Random(seed);
        LoadFigures figures = playBooks("seats, two books", load(2, random), 2, random);
        assertEven(figures);
        // Each book grants the seats of a server at most once within a heartbeat interval.
        assertThat(mMaxAtServer).isLessThanOrEqualTo(2 * (SEATS + SEATS / 2));
    }

    /** Without a coordinator hosts choose by themselves, as before; printed for comparison. */
    @Property(tries = 3, seed = "81")
    void hostsAloneServeSome(@ForAll @IntRange(max = 1_000) int seed) {
        Random random = new Random(seed);
        assertThat(playHosts(load(2, random), random).served()).isPositive();
    }

    @Property(tries = 3, seed = "83")
    void inCalmEveryRequestGetsASeatAtOnce(@ForAll @IntRange(max = 1_000) int seed) {
        Random random = new Random(seed);
        assertThat(playBooks("seats, calm", load(0.6, random), 1, random).served())
                .isGreaterThan(0.99);
    }
}
