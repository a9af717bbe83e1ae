package org.fuchsiaford.workspace;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** The bucket of one home slot: the limit over every interval, and what is not given twice. */
class HomeBucketTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double RATE = 1_000;
    private static final long BURST = 2_000;
    private static final BucketLimit SHARE =
            new BucketLimit(RATE, BURST * HomeBucket.NANOTOKENS_PER_TOKEN);

    /** Tokens that were spent at a time and not given back. */
    private static final class Spent {
        private final long mTimeNanos;
        private long mTokens;

        Spent(long timeNanos, long tokens) {
            mTimeNanos = timeNanos;
            mTokens = tokens;
        }
    }

    private record Open(GrantId id, Spent spent) {}

    @Property(tries = 400, seed = "11", shrinking = ShrinkingMode.OFF)
    void neverMoreThanBurstAndRateOverAnyInterval(@ForAll long seed) {
        Random random = new Random(seed);
        HomeBucket bucket = new HomeBucket(SHARE, 0);
        List<Spent> history = new ArrayList<>();
        List<Open> open = new ArrayList<>();
        long nowNanos = 0;
        for (int i = 0; i < 300; i++) {
            // Pauses let the bucket run full, bursts empty it at once.
            nowNanos += random.nextInt(10) == 0 ? random.nextInt(4_000) * MILLI : MILLI;
            if (random.nextInt(3) == 0 && !open.isEmpty()) {
                settle(bucket, open.remove(random.nextInt(open.size())), random, nowNanos);
            } else {
                grant(bucket, "g" + i, random, nowNanos, history, open);
            }
        }
        assertThat(worstExcess(history)).as("seed %d", seed).isLessThanOrEqualTo(0);
    }

    private static void grant(
            HomeBucket bucket,
            String id,
            Random random,
            long nowNanos,
            List<Spent> history,
            List<Open> open) {
        boolean remote = random.nextBoolean();
        long heldUntilNanos = remote ? nowNanos + HomeBuckets.GRANT_HOLD_NANOS : nowNanos;
        GrantId grant = new GrantId(id);
        long tokens = bucket.grant(grant, 1 + random.nextInt(900), heldUntilNanos, nowNanos);
        long delayNanos = remote ? (long) (random.nextDouble() * HomeBuckets.GRANT_SPEND_NANOS) : 0;
        Spent spent = new Spent(nowNanos + delayNanos, tokens);
        history.add(spent);
        open.add(new Open(grant, spent));
    }

    private static void settle(HomeBucket bucket, Open open, Random random, long nowNanos) {
        if (nowNanos < open.spent().mTimeNanos) {
            return;
        }
        long unused = (long) (random.nextDouble() * (open.spent().mTokens + 1));
        bucket.settle(open.id(), unused, nowNanos);
        open.spent().mTokens -= Math.min(unused, open.spent().mTokens);
    }

    private static double worstExcess(List<Spent> history) {
        List<Spent> sorted = new ArrayList<>(history);
        sorted.sort((a, b) -> Long.compare(a.mTimeNanos, b.mTimeNanos));
        double lowest = Double.POSITIVE_INFINITY;
        double worst = Double.NEGATIVE_INFINITY;
        double sum = 0;
        for (Spent spent : sorted) {
            double accrued = RATE * spent.mTimeNanos / 1e9;
            lowest = Math.min(lowest, sum - accrued);
            sum += spent.mTokens;
            worst = Math.max(worst, sum - accrued - lowest - BURST);
        }
        return worst;
    }

    @Example
    void startsEmpty() {
        HomeBucket bucket = new HomeBucket(SHARE, 0);
        assertThat(bucket.grant(new GrantId("a"), 10, 0, 0)).isZero();
    }

    @Example
    void repeatedGrantAnswersTheSameAndSubtractsOnce() {
        HomeBucket bucket = new HomeBucket(SHARE, 0);
        long now = 1_000 * MILLI;
        assertThat(bucket.grant(new GrantId("a"), 300, now, now)).isEqualTo(300);
        assertThat(bucket.grant(new GrantId("a"), 300, now, now)).isEqualTo(300);
        assertThat(bucket.levelTokens(now)).isEqualTo(700);
    }

    @Example
    void repeatedSettlementGivesNothingTwice() {
        HomeBucket bucket = new HomeBucket(SHARE, 0);
        long now = 1_000 * MILLI;
        bucket.grant(new GrantId("a"), 300, now, now);
        assertThat(bucket.settle(new GrantId("a"), 300, now)).isTrue();
        assertThat(bucket.settle(new GrantId("a"), 300, now)).isFalse();
        assertThat(bucket.levelTokens(now)).isEqualTo(1_000);
    }

    @Example
    void accruesToTheBurstWhileGrantsOfOthersEnd() {
        HomeBucket bucket = new HomeBucket(SHARE, 0);
        long full = 5_000 * MILLI;
        bucket.grant(new GrantId("a"), BURST, full + HomeBuckets.GRANT_HOLD_NANOS, full);
        long later = full + 20_000 * MILLI;
        assertThat(bucket.levelTokens(later)).isEqualTo(BURST);
    }

    @Example
    void moreUsedThanGrantedIsOwed() {
        HomeBucket bucket = new HomeBucket(SHARE, 0);
        long now = 1_000 * MILLI;
        bucket.grant(new GrantId("a"), 1_000, now, now);
        bucket.settle(new GrantId("a"), -500, now);
        assertThat(bucket.levelTokens(now)).isEqualTo(-500);
        assertThat(bucket.grant(new GrantId("b"), 1, now, now)).isZero();
    }
}
