package org.fuchsiaford.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.fleet.CoordinatorTrouble;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.routing.TokenQuota;
import org.fuchsiaford.workspace.WorkspaceId;

/** Quotas of hosts and their coordinators in virtual time, in calm and in trouble. */
class FleetQuotaTest {
    private static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int STEPS_PER_HEARTBEAT = 50;
    private static final int STEPS = 2_500;
    private static final int WINDOW_STEPS = 800;
    private static final long WINDOW_NANOS = WINDOW_STEPS * STEP_NANOS;
    private static final int TROUBLE_FROM_STEP = 800;
    private static final int TROUBLE_TO_STEP = 1_700;
    private static final int STEPS_PER_SECOND = 100;
    private static final int REQUEST_TOKENS = 5_000;
    private static final TokenQuota QUOTA = new TokenQuota(47_000, 47_000, 200);
    private static final long LIMIT_TOKENS = 9 * 47_000;
    private static final long LATER_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double TOLERANCE_FACTOR = 1.1;
    private static final long SLACK_TOKENS = 190_000;

    private final List<FleetQuota> mHosts = new ArrayList<>();

    private void start(int hosts) {
        mHosts.clear();
        IntStream.range(0, hosts).forEach(i -> mHosts.add(new FleetQuota(WINDOW_NANOS, 0)));
    }

    private boolean reaches(int from, int to, CoordinatorTrouble trouble) {
        return trouble.reaches(from, to, mHosts.size());
    }

    private int coordinatorOf(int host, CoordinatorTrouble trouble, int step) {
        return trouble.coordinatorOf(host, mHosts.size(), step / STEPS_PER_SECOND);
    }

    private void exchangeReports(CoordinatorTrouble trouble, long nowNanos) {
        int hosts = mHosts.size();
        for (int to = 0; to < hosts; to++) {
            int reachable = 1;
            for (int from = 0; to <= 2 && from < hosts; from++) {
                if (from != to && reaches(from, to, trouble)) {
                    mHosts.get(to)
                            .mergeReport(
                                    hostId(from),
                                    mHosts.get(from).totalsExcept(hostId(to), nowNanos),
                                    mHosts.get(from).ageNanos(nowNanos),
                                    nowNanos);
                    reachable++;
                }
            }
            boolean grants = to <= 2 || coordinatorOf(to, trouble, 0) == to;
            mHosts.get(to).setShare(grants ? reachable : 0, hosts, nowNanos);
        }
    }

    private static HostId hostId(int host) {
        return new HostId("h" + host);
    }

    private void restart(CoordinatorTrouble trouble, long nowNanos) {
        for (int host = 0; host < trouble.restarted(mHosts.size()); host++) {
            mHosts.set(host, new FleetQuota(WINDOW_NANOS, nowNanos));
            HostId ended = hostId(host);
            mHosts.forEach(other -> other.removeHost(ended));
        }
    }

    private boolean request(int host, CoordinatorTrouble trouble, int step) {
        int coordinator = coordinatorOf(host, trouble, step);
        FleetQuota quota = mHosts.get(host);
        if (coordinator == host) {
            return quota.admit(WORKSPACE, QUOTA, REQUEST_TOKENS, step * STEP_NANOS) == 0;
        }
        boolean granted =
                mHosts.get(coordinator).grant(WORKSPACE, QUOTA, REQUEST_TOKENS, step * STEP_NANOS)
                        == 0;
        if (granted) {
            quota.recordGranted(hostId(coordinator), WORKSPACE, REQUEST_TOKENS, step * STEP_NANOS);
        }
        return granted;
    }

    @Property(tries = 60, seed = "11")
    void noWindowExceedsTheLimitInAnyTrouble(
            @ForAll @IntRange(min = 2, max = 9) int hosts,
            @ForAll CoordinatorTrouble trouble,
            @ForAll @IntRange(min = 1, max = 10) int load,
            @ForAll Random random) {
        assertThat(maxInWindow(hosts, trouble, load, random)).isLessThanOrEqualTo(allowed());
    }

    @Property(tries = 40, seed = "13")
    void noWindowExceedsTheLimitInALargeFleet(
            @ForAll("largeFleets") int hosts,
            @ForAll CoordinatorTrouble trouble,
            @ForAll Random random) {
        assertThat(maxInWindow(hosts, trouble, 10, random)).isLessThanOrEqualTo(allowed());
    }

    @Provide
    Arbitrary<Integer> largeFleets() {
        return Arbitraries.of(95, 390);
    }

    private static double allowed() {
        double seconds = WINDOW_STEPS * STEP_NANOS / 1e9;
        return (QUOTA.tokensPerSecond() * seconds + QUOTA.burstTokens()) * TOLERANCE_FACTOR
                + SLACK_TOKENS;
    }

    /** Returns the most tokens admitted in any window, under up to about ten times the rate. */
    private double maxInWindow(int hosts, CoordinatorTrouble trouble, int load, Random random) {
        start(hosts);
        long[] admitted = new long[STEPS];
        for (int step = 0; step < STEPS; step++) {
            boolean troubled = step >= TROUBLE_FROM_STEP && step < TROUBLE_TO_STEP;
            CoordinatorTrouble now = troubled ? trouble : CoordinatorTrouble.NONE;
            if (step == TROUBLE_FROM_STEP) {
                restart(trouble, step * STEP_NANOS);
            }
            if (step % STEPS_PER_HEARTBEAT == 0) {
                exchangeReports(now, step * STEP_NANOS);
            }
            for (int i = 0; i < load; i++) {
                if (random.nextInt(10) == 0 && request(random.nextInt(hosts), now, step)) {
                    admitted[step] += REQUEST_TOKENS;
                }
            }
        }
        long inWindow = 0;
        long maxInWindow = 0;
        for (int step = 0; step < STEPS; step++) {
            inWindow += admitted[step] - (step >= WINDOW_STEPS ? admitted[step - WINDOW_STEPS] : 0);
            maxInWindow = Math.max(maxInWindow, inWindow);
        }
        return maxInWindow;
    }

    @Property(tries = 20, seed = "12")
    void nothingWithinTheRateIsRefusedWhileAllHostsAreReachable(
            @ForAll @IntRange(min = 1, max = 95) int hosts, @ForAll Random random) {
        start(hosts);
        long stepsPerRequest = REQUEST_TOKENS * 100L / (QUOTA.tokensPerSecond() * 8 / 10) + 1;
        for (int step = 0; step < STEPS; step++) {
            if (step % STEPS_PER_HEARTBEAT == 0) {
                exchangeReports(CoordinatorTrouble.NONE, step * STEP_NANOS);
            }
            if (step >= 200 && step % stepsPerRequest == 0) {
                assertThat(request(random.nextInt(hosts), CoordinatorTrouble.NONE, step)).isTrue();
            }
        }
    }

    @Example
    void aRefusalReturnsTheTimeUntilThereAreTokens() {
        FleetQuota host = startedHost();
        assertThat(host.admit(WORKSPACE, QUOTA, LIMIT_TOKENS - 1_000, LATER_NANOS)).isZero();
        long waitNanos = host.admit(WORKSPACE, QUOTA, 4_700, LATER_NANOS);
        assertThat(waitNanos).isBetween(WINDOW_NANOS - SLOT_NANOS, WINDOW_NANOS + SLOT_NANOS);
        assertThat(host.admit(WORKSPACE, QUOTA, 4_700, LATER_NANOS + WINDOW_NANOS / 2))
                .isPositive();
        assertThat(host.admit(WORKSPACE, QUOTA, 4_700, LATER_NANOS + waitNanos)).isZero();
    }

    /** Over twice the rate for two seconds, with half of the rate before and after. */
    @Example
    void aShortBurstInsideTheWindowIsNotRefused() {
        FleetQuota host = startedHost();
        long refused = 0;
        for (int step = 0; step < 1_200; step++) {
            boolean burst = step >= 400 && step < 600;
            int stepsPerRequest = burst ? 4 : 21;
            if (step % stepsPerRequest == 0
                    && host.admit(WORKSPACE, QUOTA, 5_000, LATER_NANOS + step * STEP_NANOS) > 0) {
                refused++;
            }
        }
        assertThat(refused).isZero();
    }

    @Example
    void theUseBeforeAStartIsUnknownAndBecomesFreeOverOneWindow() {
        FleetQuota host = new FleetQuota(WINDOW_NANOS, 0);
        assertThat(host.admit(WORKSPACE, QUOTA, 1, 0)).isPositive();
        host.setShare(1, 1, 0);
        assertThat(host.admit(WORKSPACE, QUOTA, LIMIT_TOKENS / 10 - 100, 0)).isZero();
        long waitNanos = host.admit(WORKSPACE, QUOTA, LIMIT_TOKENS / 10, 0);
        assertThat(waitNanos).isBetween(WINDOW_NANOS / 10, WINDOW_NANOS / 8);
        assertThat(host.admit(WORKSPACE, QUOTA, LIMIT_TOKENS / 10, waitNanos)).isZero();
    }

    @Example
    void aNewCoordinatorLearnsWhatHostsHaveUsedFromTheirFirstReports() {
        start(2);
        FleetQuota former = mHosts.get(0);
        FleetQuota host = mHosts.get(1);
        FleetQuota next = new FleetQuota(WINDOW_NANOS, 0);
        former.setShare(2, 2, 0);
        next.setShare(2, 2, 0);
        assertThat(former.grant(WORKSPACE, QUOTA, LIMIT_TOKENS / 2, LATER_NANOS)).isZero();
        host.recordGranted(hostId(0), WORKSPACE, LIMIT_TOKENS / 2, LATER_NANOS);
        next.mergeReport(hostId(1), host.totals(LATER_NANOS), LATER_NANOS, LATER_NANOS);
        assertThat(next.grant(WORKSPACE, QUOTA, LIMIT_TOKENS / 2 + 1_000, LATER_NANOS))
                .isPositive();
        assertThat(next.grant(WORKSPACE, QUOTA, LIMIT_TOKENS / 2 - 1_000, LATER_NANOS)).isZero();
    }

    private static FleetQuota startedHost() {
        FleetQuota host = new FleetQuota(WINDOW_NANOS, 0);
        host.setShare(1, 1, 0);
        return host;
    }

    @Example
    void refundedTokensAreAvailableToAllHosts() {
        start(2);
        exchangeReports(CoordinatorTrouble.NONE, 0);
        exchangeReports(CoordinatorTrouble.NONE, LATER_NANOS);
        mHosts.get(0).admit(WORKSPACE, QUOTA, LIMIT_TOKENS - 1_000, LATER_NANOS);
        exchangeReports(CoordinatorTrouble.NONE, LATER_NANOS);
        assertThat(mHosts.get(1).admit(WORKSPACE, QUOTA, 40_000, LATER_NANOS)).isPositive();
        mHosts.get(0).refund(WORKSPACE, LIMIT_TOKENS - 1_000, LATER_NANOS);
        exchangeReports(CoordinatorTrouble.NONE, LATER_NANOS);
        assertThat(mHosts.get(1).admit(WORKSPACE, QUOTA, 40_000, LATER_NANOS)).isZero();
    }
}
