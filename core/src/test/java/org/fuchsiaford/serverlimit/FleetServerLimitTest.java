package org.fuchsiaford.serverlimit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaford.fleet.CoordinatorTrouble.COORDINATORS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fleet.CoordinatorTrouble;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.fleet.TestHeartbeats;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.registry.SoftwareVersion;

/** Hosts and their coordinators in virtual time, with one server that names a limit for a while. */
class FleetServerLimitTest {
    private static final LiveServer LIVE_SERVER =
            new LiveServer(
                    new BackendServerId("s"),
                    new ServiceId("v"),
                    new ServerAddress("10.0.0.1", 80),
                    new FailureDomainId("d"),
                    new SoftwareVersion("v1"),
                    6,
                    Optional.empty(),
                    false,
                    1);
    private static final ServerRun SERVER = LIVE_SERVER.run();
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int STEPS_PER_SECOND = 100;
    private static final int STEPS_PER_HEARTBEAT = 50;
    private static final int LIMITED_FROM_STEP = 500;
    private static final int TROUBLE_FROM_STEP = 1_200;
    private static final int TROUBLE_TO_STEP = 2_000;
    private static final int LIMITED_TO_STEP = 2_600;
    private static final int STEPS = 4_000;
    private static final int WINDOW_STEPS = 400;

    /** A restarted host and a server that begins to name its limit are excused for so long. */
    private static final int EXCUSED_STEPS = 300;

    /** A host counts from so long after it has received a response that names the limit. */
    private static final int NOTICE_STEPS = 50;

    /** The load of all hosts on the server if it named no limit. */
    private static final double REQUESTS_PER_STEP = 1;

    private final List<Host> mHosts = new ArrayList<>();
    private int mStep;
    private CoordinatorTrouble mTrouble;
    private double mRequestsPerSecond;

    /** The requests that reach the server in each step, and those that count against its limit. */
    private final int[] mSent = new int[STEPS];

    private final int[] mCounted = new int[STEPS];

    private final class Host {
        private final int mIndex;
        private final FleetView mView;
        private final ServerLimits mLimits = new ServerLimits();
        private final ServerRateLimiter mLimiter =
                new ServerRateLimiter(mLimits, this::decidingShare);
        private final int mStartedStep = mStep;
        private final DeniedPermits mDenials = new DeniedPermits(mLimits);
        private int mToldStep = Integer.MAX_VALUE;

        Host(int index) {
            mIndex = index;
            mView = new FleetView(toRecord(index));
        }

        /** Only coordinators keep a view of the fleet here. */
        double decidingShare() {
            boolean decides = coordinatorOf(mIndex) == mIndex;
            return mIndex < COORDINATORS
                    ? mView.decidingShare(decides, nowNanos())
                    : decides ? 1.0 / mHosts.size() : 0;
        }

        /** Sends a request if it is permitted. */
        void send() {
            if (mLimits.isLimited(SERVER) && !isPermitted()) {
                return;
            }
            boolean counts =
                    mStep - NOTICE_STEPS >= mToldStep && mStep - mStartedStep >= EXCUSED_STEPS;
            boolean named = mStep >= LIMITED_FROM_STEP && mStep < LIMITED_TO_STEP;
            if (named && mToldStep == Integer.MAX_VALUE) {
                mToldStep = mStep;
            }
            double limit = named ? mRequestsPerSecond : Double.POSITIVE_INFINITY;
            mLimits.record(SERVER, limit, nowNanos());
            mSent[mStep]++;
            mCounted[mStep] += counts ? 1 : 0;
        }

        private boolean isPermitted() {
            if (mDenials.availableNow(List.of(LIVE_SERVER), nowNanos()).isEmpty()) {
                return false;
            }
            Host coordinator = mHosts.get(coordinatorOf(mIndex));
            coordinator.mLimits.merge(List.of(mLimits.find(SERVER, nowNanos())), nowNanos());
            long waitNanos = coordinator.mLimiter.acquire(SERVER, nowNanos());
            if (waitNanos > 0) {
                mDenials.record(SERVER, waitNanos, nowNanos());
            }
            return waitNanos == 0;
        }

        void exchange(Host coordinator) {
            long maxAgeNanos = 3 * STEPS_PER_HEARTBEAT * STEP_NANOS;
            coordinator.mLimits.merge(mLimits.list(maxAgeNanos, nowNanos()), nowNanos());
            coordinator.mView.recordHeartbeat(
                    TestHeartbeats.idle(toRecord(mIndex), 0, true), nowNanos());
            boolean asks = coordinatorOf(mIndex) == coordinator.mIndex;
            coordinator.mView.recordAsking(hostId(mIndex), asks);
            mLimits.merge(
                    coordinator.mLimits.list(asks ? Long.MAX_VALUE : maxAgeNanos, nowNanos()),
                    nowNanos());
        }
    }

    private long nowNanos() {
        return mStep * STEP_NANOS;
    }

    private static HostId hostId(int index) {
        return new HostId("h" + index);
    }

    private static HostRecord toRecord(int index) {
        return new HostRecord(hostId(index), new FailureDomainId("d"), "c" + index, "p" + index, 1);
    }

    private boolean reaches(int from, int to) {
        return mTrouble.reaches(from, to, mHosts.size());
    }

    /** Returns the coordinator that a host asks, or the host itself. */
    private int coordinatorOf(int host) {
        return mTrouble.coordinatorOf(host, mHosts.size(), mStep / STEPS_PER_SECOND);
    }

    private void start(int hosts) {
        mHosts.clear();
        IntStream.range(0, hosts).forEach(i -> mHosts.add(new Host(i)));
        IntStream.range(0, COORDINATORS).forEach(this::registerAll);
    }

    private void registerAll(int coordinator) {
        IntStream.range(0, mHosts.size())
                .forEach(i -> mHosts.get(coordinator).mView.register(toRecord(i)));
    }

    private void restart(CoordinatorTrouble trouble) {
        IntStream.range(0, trouble.restarted(mHosts.size()))
                .forEach(
                        i -> {
                            mHosts.set(i, new Host(i));
                            if (i < COORDINATORS) {
                                registerAll(i);
                            }
                        });
    }

    private void run(
            int hosts, double requestsPerSecond, CoordinatorTrouble trouble, Random random) {
        mStep = 0;
        mTrouble = CoordinatorTrouble.NONE;
        mRequestsPerSecond = requestsPerSecond;
        start(hosts);
        Arrays.fill(mSent, 0);
        Arrays.fill(mCounted, 0);
        for (mStep = 0; mStep < STEPS; mStep++) {
            boolean troubled = mStep >= TROUBLE_FROM_STEP && mStep < TROUBLE_TO_STEP;
            mTrouble = troubled ? trouble : CoordinatorTrouble.NONE;
            if (mStep == TROUBLE_FROM_STEP) {
                restart(trouble);
            }
            IntStream.range(0, hosts)
                    .filter(host -> (host + mStep) % STEPS_PER_HEARTBEAT == 0)
                    .forEach(this::sendHeartbeats);
            for (double left = REQUESTS_PER_STEP; random.nextDouble() < left; left--) {
                mHosts.get(random.nextInt(hosts)).send();
            }
        }
    }

    private void sendHeartbeats(int host) {
        IntStream.range(0, COORDINATORS)
                .filter(coordinator -> coordinator != host && reaches(host, coordinator))
                .forEach(coordinator -> mHosts.get(host).exchange(mHosts.get(coordinator)));
    }

    private static int sum(int[] requests, int fromStep, int toStep) {
        return IntStream.range(fromStep, toStep).map(step -> requests[step]).sum();
    }

    private static double allowed(double requestsPerSecond) {
        return 1.5 * requestsPerSecond * WINDOW_STEPS / STEPS_PER_SECOND + 5;
    }

    @Property(tries = 40, seed = "21")
    void noWindowExceedsTheLimitInAnyTrouble(
            @ForAll("fleets") int hosts,
            @ForAll("limits") double requestsPerSecond,
            @ForAll CoordinatorTrouble trouble,
            @ForAll Random random) {
        run(hosts, requestsPerSecond, trouble, random);
        int lastStep = LIMITED_TO_STEP - WINDOW_STEPS;
        int most =
                IntStream.range(LIMITED_FROM_STEP + EXCUSED_STEPS, lastStep)
                        .map(step -> sum(mCounted, step, step + WINDOW_STEPS))
                        .max()
                        .orElse(0);
        assertThat((double) most).isLessThanOrEqualTo(allowed(requestsPerSecond));
    }

    @Property(tries = 4, seed = "22")
    void aLimitedServerIsUsedUpToWhatItTakesAndFullyOnceItsLimitHasEnded(
            @ForAll("fleets") int hosts, @ForAll Random random) {
        for (double limit : new double[] {1.3, 5, 20}) {
            run(hosts, limit, CoordinatorTrouble.NONE, random);
            int fromStep = LIMITED_FROM_STEP + EXCUSED_STEPS;
            double seconds = (double) (LIMITED_TO_STEP - fromStep) / STEPS_PER_SECOND;
            assertThat(sum(mSent, fromStep, LIMITED_TO_STEP) / seconds)
                    .isBetween(0.75 * limit, limit + 1);
            int endSeconds = 3;
            int endedStep = LIMITED_TO_STEP + endSeconds * STEPS_PER_SECOND;
            assertThat(sum(mSent, endedStep, STEPS))
                    .isEqualTo((int) (REQUESTS_PER_STEP * (STEPS - endedStep)));
        }
    }

    @Provide
    Arbitrary<Integer> fleets() {
        return Arbitraries.of(6, 95, 390);
    }

    @Provide
    Arbitrary<Double> limits() {
        return Arbitraries.of(0.0, 0.1, 1.3, 5.0, 20.0);
    }

    @Example
    void aLimitOfZeroLetsOneRequestThroughAtTimesSoThatItsEndIsNoticed() {
        ServerLimits limits = new ServerLimits();
        ServerRateLimiter limiter = new ServerRateLimiter(limits, () -> 1);
        limits.record(SERVER, 0, 0);
        long seconds = 100;
        long permitted =
                IntStream.range(0, (int) seconds * STEPS_PER_SECOND)
                        .filter(step -> limiter.acquire(SERVER, step * STEP_NANOS) == 0)
                        .count();
        assertThat((double) permitted)
                .isBetween(1.0, seconds * ServerRateLimiter.MIN_REQUESTS_PER_SECOND);
    }

    @Example
    void aDenialEndsOnceTheServerNamesAnotherLimit() {
        ServerLimits limits = new ServerLimits();
        DeniedPermits denials = new DeniedPermits(limits);
        List<LiveServer> servers = List.of(LIVE_SERVER);
        limits.record(SERVER, 0.1, 0);
        denials.record(SERVER, TimeUnit.SECONDS.toNanos(10), 0);
        assertThat(denials.availableNow(servers, STEP_NANOS)).isEmpty();
        assertThat(denials.millisUntilFirst(servers, STEP_NANOS)).isEqualTo(9_990);
        limits.record(SERVER, 20, STEP_NANOS);
        assertThat(denials.availableNow(servers, STEP_NANOS)).isEqualTo(servers);
        assertThat(denials.millisUntilFirst(servers, STEP_NANOS)).isZero();
    }

    @Example
    void aLimitThatBeginsWhileAPermitIsTakenFailsNoRequest() throws InterruptedException {
        ServerLimits limits = new ServerLimits();
        ServerRateLimiter limiter = new ServerRateLimiter(limits, () -> 1);
        AtomicBoolean stopped = new AtomicBoolean();
        Thread responses =
                new Thread(
                        () ->
                                IntStream.iterate(0, i -> !stopped.get(), i -> i + 1)
                                        .mapToDouble(
                                                i -> i % 2 == 0 ? 1e6 : Double.POSITIVE_INFINITY)
                                        .forEach(limit -> limits.record(SERVER, limit, 0)));
        responses.start();
        try {
            IntStream.range(0, 2_000_000).forEach(i -> limiter.acquire(SERVER, i * STEP_NANOS));
        } finally {
            stopped.set(true);
            responses.join();
        }
    }
}
