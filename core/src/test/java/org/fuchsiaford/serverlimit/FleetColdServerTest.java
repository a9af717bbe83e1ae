package org.fuchsiaford.serverlimit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaford.fleet.CoordinatorTrouble.COORDINATORS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.fleet.CoordinatorTrouble;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.fleet.TestHeartbeats;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.routing.ColdStart;

/**
 * Hosts and their coordinators in virtual time, and one engine that is cold at times. Guards
 * against the crash of a cold engine to which all hosts turn at once.
 */
class FleetColdServerTest {
    private static final ColdStart RULE = new ColdStart(TimeUnit.SECONDS.toNanos(3), 7.6);

    /** The bound of the deployment for any second of a cold server. */
    private static final double MAX_REQUESTS_IN_A_SECOND = 1.5 * 7.6 + 5;

    private static final LiveServer ENGINE = TestServers.engine("e", EngineStage.DECODE);
    private static final ServerRun RUN = ENGINE.run();
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int STEPS_PER_SECOND = 100;
    private static final int STEPS_PER_HEARTBEAT = 50;

    /** Coordinators and other hosts watch the store so often. */
    private static final int COORDINATOR_WATCH_STEPS = 3;

    private static final int WATCH_STEPS = 50;

    /** A decode engine is called so much later at most, since the prompt is read before. */
    private static final int MAX_PREFILL_STEPS = 60;

    /** The engine is cold again and again; before, it gets no requests for a while or few. */
    private static final int STEPS_PER_CYCLE = 700;

    private static final int COLD_FROM_STEP = 300;
    private static final int COLD_STEPS = 300;
    private static final int TROUBLE_FROM_CYCLE = 2;

    /** The trouble begins and ends in the middle of a cold time. */
    private static final int TROUBLE_OFFSET_STEPS = COLD_FROM_STEP + 120;

    private static final int TROUBLE_TO_CYCLE = 4;
    private static final int CYCLES = 6;
    private static final int STEPS = CYCLES * STEPS_PER_CYCLE;

    /** Why the engine is cold. */
    enum Cause {
        /** It got no requests and is the least loaded engine of the fleet now. */
        EVACUATION_ENDS,
        /** It becomes cold while it serves its usual load. */
        COLD_AGAIN;

        double requestsPerStep() {
            return this == EVACUATION_ENDS ? 1 : 0.08;
        }
    }

    /** Which hosts the store does not reach during the trouble. */
    enum StoreOutage {
        NONE,
        COORDINATORS,
        A_TENTH,
        ALL_BUT_A_TENTH;

        boolean concerns(int host, int hosts) {
            boolean isOfLastTenth = host >= hosts - Math.max(1, hosts / 10);
            return switch (this) {
                case NONE -> false;
                case COORDINATORS -> host < CoordinatorTrouble.COORDINATORS;
                case A_TENTH -> isOfLastTenth;
                case ALL_BUT_A_TENTH -> !isOfLastTenth;
            };
        }
    }

    private final List<Host> mHosts = new ArrayList<>();
    private final int[] mArrived = new int[STEPS + MAX_PREFILL_STEPS];
    private int mStep;
    private CoordinatorTrouble mTrouble;
    private StoreOutage mOutage;
    private Cause mCause;
    private Random mRandom;

    private final class Host {
        private final int mIndex;
        private final FleetView mView;
        private final ColdServers mCold = new ColdServers(service -> RULE);
        private final ServerRateLimiter mLimiter =
                new ServerRateLimiter(
                        new ServerLimits(),
                        List.of(mCold, new UnseenServers(mCold, this::isCutOff)),
                        this::decidingShare,
                        () -> mRandom.nextDouble());

        /** The cycle whose evacuation this host knows to have ended. */
        private int mKnownCycle = -1;

        Host(int index) {
            mIndex = index;
            mCold.register(ENGINE, OptionalLong.empty(), true, nowNanos());
            mView = new FleetView(toRecord(index));
        }

        /** Only coordinators keep a view of the fleet here. */
        double decidingShare() {
            boolean decides = coordinatorOf(mIndex) == mIndex;
            return mIndex < COORDINATORS
                    ? mView.decidingShare(decides, nowNanos())
                    : decides ? 1.0 / mHosts.size() : 0;
        }

        boolean isCutOff() {
            boolean isAlone =
                    mIndex < COORDINATORS
                            ? mView.reachableCount(nowNanos()) == 1
                            : coordinatorOf(mIndex) == mIndex;
            return isAlone && mOutage.concerns(mIndex, mHosts.size());
        }

        void readStore() {
            if (mStep % STEPS_PER_CYCLE >= COLD_FROM_STEP && mKnownCycle < cycle()) {
                mKnownCycle = cycle();
                // The registration still says so although some of the time has passed.
                mCold.register(ENGINE, OptionalLong.of(COLD_STEPS * 10), false, nowNanos());
            }
        }

        boolean isUsed() {
            return mCause == Cause.COLD_AGAIN || mKnownCycle == cycle();
        }

        void send() {
            Host coordinator = mHosts.get(coordinatorOf(mIndex));
            if (coordinator.isUsed() && coordinator.mLimiter.acquire(RUN, nowNanos()) == 0) {
                mArrived[mStep + mRandom.nextInt(MAX_PREFILL_STEPS)]++;
            }
        }

        void exchange(Host coordinator) {
            long maxAgeNanos = 3 * STEPS_PER_HEARTBEAT * STEP_NANOS;
            coordinator.learn(mCold.listOwn(maxAgeNanos, nowNanos()), mKnownCycle);
            coordinator.mView.recordHeartbeat(
                    TestHeartbeats.idle(toRecord(mIndex), 0, true), nowNanos());
            boolean asks = coordinatorOf(mIndex) == coordinator.mIndex;
            coordinator.mView.recordAsking(hostId(mIndex), asks);
            learn(coordinator.mCold.list(nowNanos()), coordinator.mKnownCycle);
        }

        /** A host that copies the entries of another one learns of a cold server with them. */
        private void learn(List<ColdServer> cold, int knownCycle) {
            mCold.merge(cold, nowNanos());
            if (!cold.isEmpty()) {
                mKnownCycle = Math.max(mKnownCycle, knownCycle);
            }
        }
    }

    private int cycle() {
        return mStep / STEPS_PER_CYCLE;
    }

    private long nowNanos() {
        return mStep * STEP_NANOS;
    }

    private static HostId hostId(int index) {
        return new HostId("h" + index);
    }

    private static HostRecord toRecord(int index) {
        return new HostRecord(hostId(index), ENGINE.failureDomain(), "c" + index, "p" + index, 1);
    }

    /** Returns the coordinator that a host asks, or the host itself. */
    private int coordinatorOf(int host) {
        return mTrouble.coordinatorOf(host, mHosts.size(), mStep / STEPS_PER_SECOND);
    }

    private void registerAll(int coordinator) {
        IntStream.range(0, mHosts.size())
                .forEach(i -> mHosts.get(coordinator).mView.register(toRecord(i)));
    }

    private void start(int hosts) {
        mHosts.clear();
        IntStream.range(0, hosts).forEach(i -> mHosts.add(new Host(i)));
        IntStream.range(0, COORDINATORS).forEach(this::registerAll);
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
            int hosts, Cause cause, CoordinatorTrouble trouble, StoreOutage outage, Random random) {
        mStep = 0;
        mTrouble = CoordinatorTrouble.NONE;
        mCause = cause;
        mRandom = random;
        start(hosts);
        Arrays.fill(mArrived, 0);
        int fromStep = TROUBLE_FROM_CYCLE * STEPS_PER_CYCLE + TROUBLE_OFFSET_STEPS;
        int toStep = TROUBLE_TO_CYCLE * STEPS_PER_CYCLE + TROUBLE_OFFSET_STEPS;
        for (mStep = 0; mStep < STEPS; mStep++) {
            boolean isTroubled = mStep >= fromStep && mStep < toStep;
            mTrouble = isTroubled ? trouble : CoordinatorTrouble.NONE;
            mOutage = isTroubled ? outage : StoreOutage.NONE;
            if (mStep == fromStep) {
                restart(trouble);
            }
            IntStream.range(0, hosts).forEach(this::step);
            for (double left = cause.requestsPerStep(); mRandom.nextDouble() < left; left--) {
                mHosts.get(mRandom.nextInt(hosts)).send();
            }
        }
    }

    private void step(int host) {
        int watchSteps = host < COORDINATORS ? COORDINATOR_WATCH_STEPS : WATCH_STEPS;
        if ((host + mStep) % watchSteps == 0 && !mOutage.concerns(host, mHosts.size())) {
            mHosts.get(host).readStore();
        }
        if ((host + mStep) % STEPS_PER_HEARTBEAT == 0) {
            IntStream.range(0, COORDINATORS)
                    .filter(coordinator -> coordinator != host)
                    .filter(coordinator -> mTrouble.reaches(host, coordinator, mHosts.size()))
                    .forEach(coordinator -> mHosts.get(host).exchange(mHosts.get(coordinator)));
        }
    }

    private int mostInASecondOfAColdTime() {
        return IntStream.range(0, CYCLES)
                .map(cycle -> cycle * STEPS_PER_CYCLE + COLD_FROM_STEP)
                .flatMap(from -> IntStream.rangeClosed(from, from + COLD_STEPS - STEPS_PER_SECOND))
                .map(step -> arrived(step, step + STEPS_PER_SECOND))
                .max()
                .orElse(0);
    }

    private int arrived(int fromStep, int toStep) {
        return Arrays.stream(mArrived, fromStep, toStep).sum();
    }

    @Property(tries = 100, seed = "31")
    void noSecondExceedsWhatAColdServerToleratesInAnyTrouble(
            @ForAll("fleets") int hosts,
            @ForAll Cause cause,
            @ForAll CoordinatorTrouble trouble,
            @ForAll StoreOutage outage,
            @ForAll Random random) {
        run(hosts, cause, trouble, outage, random);
        assertThat((double) mostInASecondOfAColdTime())
                .isLessThanOrEqualTo(MAX_REQUESTS_IN_A_SECOND);
    }

    @Property(tries = 6, seed = "32")
    void aColdServerIsUsedAndAWarmOneIsNotLimited(
            @ForAll("fleets") int hosts, @ForAll Random random) {
        run(hosts, Cause.EVACUATION_ENDS, CoordinatorTrouble.NONE, StoreOutage.NONE, random);
        int coldStep = COLD_FROM_STEP + MAX_PREFILL_STEPS;
        int seconds = (COLD_STEPS - MAX_PREFILL_STEPS) / STEPS_PER_SECOND;
        assertThat(arrived(coldStep, coldStep + seconds * STEPS_PER_SECOND) / (double) seconds)
                .isGreaterThan(0.6 * RULE.requestsPerSecond());
        int warmStep = COLD_FROM_STEP + COLD_STEPS + MAX_PREFILL_STEPS;
        assertThat(arrived(warmStep, STEPS_PER_CYCLE - 1))
                .isGreaterThan((STEPS_PER_CYCLE - 1 - warmStep) / 4);
    }

    @Provide
    Arbitrary<Integer> fleets() {
        return Arbitraries.of(6, 95, 390);
    }
}
