package org.fuchsiaford.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.routing.TokenQuota;
import org.fuchsiaford.workspace.WorkspaceId;

/** Quotas of hosts that exchange reports in virtual time, with and without network partitions. */
class FleetQuotaTest {
    private static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int STEPS_PER_HEARTBEAT = 50;
    private static final int STEPS_PER_REPORT = 2;
    private static final int STEPS = 2_500;
    private static final int WINDOW_STEPS = 800;
    private static final int PARTITION_FROM_STEP = 800;
    private static final int PARTITION_TO_STEP = 1_700;
    private static final int REQUEST_TOKENS = 5_000;
    private static final TokenQuota QUOTA = new TokenQuota(47_000, 47_000, 200);
    private static final double TOLERANCE_FACTOR = 1.1;
    private static final long SLACK_TOKENS = 190_000;

    private final List<FleetQuota> mHosts = new ArrayList<>();

    private void start(int hosts) {
        IntStream.range(0, hosts).forEach(i -> mHosts.add(new FleetQuota(0)));
    }

    private void sendReport(int from, int to, long nowNanos) {
        mHosts.get(to).mergeReport(new HostId("h" + from), mHosts.get(from).totals(), nowNanos);
    }

    /**
     * Exchanges reports among the hosts before the split and among those after it, but not between
     * the two; with a split of 0 all hosts exchange reports.
     */
    private void exchangeReports(int split, long nowNanos) {
        int hosts = mHosts.size();
        for (int from = 0; from < hosts; from++) {
            for (int to = 0; to < hosts; to++) {
                if (from != to && (from < split) == (to < split)) {
                    sendReport(from, to, nowNanos);
                }
            }
        }
        for (int host = 0; host < hosts; host++) {
            int partitionSize = split == 0 ? hosts : host < split ? split : hosts - split;
            mHosts.get(host).setShare((double) partitionSize / hosts);
        }
    }

    @Property(tries = 40, seed = "11")
    void noWindowExceedsTheLimitWhileHostsAreCutOff(
            @ForAll @IntRange(min = 2, max = 9) int hosts,
            @ForAll @IntRange(min = 1, max = 8) int split,
            @ForAll @IntRange(min = 1, max = 10) int load,
            @ForAll Random random) {
        mHosts.clear();
        start(hosts);
        int partitionSize = Math.min(split, hosts - 1);
        long[] admitted = new long[STEPS];
        for (int step = 0; step < STEPS; step++) {
            long nowNanos = step * STEP_NANOS;
            boolean partitioned = step >= PARTITION_FROM_STEP && step < PARTITION_TO_STEP;
            boolean nearLimit =
                    mHosts.stream()
                            .map(FleetQuota::pollNearLimit)
                            .reduce(false, Boolean::logicalOr);
            // Near the limit a report is sent within 10 ms of an admission and arrives 10 ms later.
            if (step % STEPS_PER_HEARTBEAT == 0 || nearLimit && step % STEPS_PER_REPORT == 0) {
                exchangeReports(partitioned ? partitionSize : 0, nowNanos);
            }
            // Up to about ten times the rate, on random hosts.
            for (int i = 0; i < load; i++) {
                FleetQuota host = mHosts.get(random.nextInt(hosts));
                if (random.nextInt(10) == 0
                        && host.admit(WORKSPACE, QUOTA, REQUEST_TOKENS, nowNanos) == 0) {
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
        double seconds = WINDOW_STEPS * STEP_NANOS / 1e9;
        double allowed =
                (QUOTA.tokensPerSecond() * seconds + QUOTA.burstTokens()) * TOLERANCE_FACTOR
                        + SLACK_TOKENS;
        assertThat((double) maxInWindow).isLessThanOrEqualTo(allowed);
    }

    @Property(tries = 20, seed = "12")
    void nothingWithinTheRateIsRefusedWhileAllHostsAreReachable(
            @ForAll @IntRange(min = 1, max = 9) int hosts, @ForAll Random random) {
        mHosts.clear();
        start(hosts);
        long stepsPerRequest = REQUEST_TOKENS * 100L / (QUOTA.tokensPerSecond() * 8 / 10) + 1;
        for (int step = 200; step < STEPS; step++) {
            long nowNanos = step * STEP_NANOS;
            if (step % STEPS_PER_HEARTBEAT == 0) {
                exchangeReports(0, nowNanos);
            }
            if (step % stepsPerRequest == 0) {
                FleetQuota host = mHosts.get(random.nextInt(hosts));
                assertThat(host.admit(WORKSPACE, QUOTA, REQUEST_TOKENS, nowNanos)).isZero();
            }
        }
    }

    @Example
    void aRefusalReturnsTheTimeUntilThereAreTokens() {
        FleetQuota host = new FleetQuota(0);
        long nowNanos = TimeUnit.SECONDS.toNanos(5);
        assertThat(host.admit(WORKSPACE, QUOTA, 47_000, nowNanos)).isZero();
        long waitNanos = host.admit(WORKSPACE, QUOTA, 4_700, nowNanos);
        assertThat(waitNanos).isEqualTo(TimeUnit.MILLISECONDS.toNanos(100));
        assertThat(host.admit(WORKSPACE, QUOTA, 4_700, nowNanos + waitNanos)).isZero();
    }

    @Example
    void refundedTokensAreAvailableOnAllHosts() {
        start(2);
        long nowNanos = TimeUnit.SECONDS.toNanos(5);
        mHosts.forEach(host -> host.admit(WORKSPACE, QUOTA, 1, nowNanos));
        exchangeReports(0, nowNanos);
        mHosts.get(0).admit(WORKSPACE, QUOTA, 46_000, nowNanos);
        exchangeReports(0, nowNanos);
        assertThat(mHosts.get(1).admit(WORKSPACE, QUOTA, 40_000, nowNanos)).isPositive();
        mHosts.get(0).refund(WORKSPACE, 46_000);
        exchangeReports(0, nowNanos);
        assertThat(mHosts.get(1).admit(WORKSPACE, QUOTA, 40_000, nowNanos)).isZero();
    }
}
