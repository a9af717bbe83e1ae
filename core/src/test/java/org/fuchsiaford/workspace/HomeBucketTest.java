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

/**
 * Tests that a bucket keeps its limit over every interval, also when grants are spent late and
 * partly refunded, and that repeated grant and settle messages take effect once.
 */
class HomeBucketTest {
    private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double TOKENS_PER_SECOND = 1_000;
    private static final long BURST_TOKENS = 2_000;
    private static final BucketLimit LIMIT =
            new BucketLimit(TOKENS_PER_SECOND, BURST_TOKENS * HomeBucket.NANOTOKENS_PER_TOKEN);

    /** Tokens spent at one time, less those refunded. */
    private static final class Spent {
        private final long mTimeNanos;
        private long mTokens;

        Spent(long timeNanos, long tokens) {
            mTimeNanos = timeNanos;
            mTokens = tokens;
        }
    }

    /** A grant that is not settled yet. */
    private record UnsettledGrant(GrantId id, Spent spent) {}

    @Property(tries = 400, seed = "11", shrinking = ShrinkingMode.OFF)
    void neverMoreThanBurstAndRateOverAnyInterval(@ForAll long seed) {
        Random random = new Random(seed);
        HomeBucket bucket = new HomeBucket(LIMIT, 0);
        List<Spent> history = new ArrayList<>();
        List<UnsettledGrant> unsettled = new ArrayList<>();
        long nowNanos = 0;
        for (int i = 0; i < 300; i++) {
            // Long pauses let the bucket fill up; grants in quick succession drain it.
            nowNanos += random.nextInt(10) == 0 ? random.nextInt(4_000) * MILLI_NANOS : MILLI_NANOS;
            if (random.nextInt(3) == 0 && !unsettled.isEmpty()) {
                settle(
                        bucket,
                        unsettled.remove(random.nextInt(unsettled.size())),
                        random,
                        nowNanos);
            } else {
                grant(bucket, "g" + i, random, nowNanos, history, unsettled);
            }
        }
        assertThat(maxExcessTokens(history)).as("seed %d", seed).isLessThanOrEqualTo(0);
    }

    private static void grant(
            HomeBucket bucket,
            String id,
            Random random,
            long nowNanos,
            List<Spent> history,
            List<UnsettledGrant> unsettled) {
        boolean remote = random.nextBoolean();
        long heldUntilNanos = remote ? nowNanos + HomeBuckets.GRANT_HOLD_NANOS : nowNanos;
        GrantId grant = new GrantId(id);
        long tokens = bucket.grant(grant, 1 + random.nextInt(900), heldUntilNanos, nowNanos);
        long delayNanos = remote ? (long) (random.nextDouble() * HomeBuckets.GRANT_SPEND_NANOS) : 0;
        Spent spent = new Spent(nowNanos + delayNanos, tokens);
        history.add(spent);
        unsettled.add(new UnsettledGrant(grant, spent));
    }

    private static void settle(
            HomeBucket bucket, UnsettledGrant unsettled, Random random, long nowNanos) {
        if (nowNanos < unsettled.spent().mTimeNanos) {
            return;
        }
        long unused = (long) (random.nextDouble() * (unsettled.spent().mTokens + 1));
        bucket.settle(unsettled.id(), unused, nowNanos);
        unsettled.spent().mTokens -= Math.min(unused, unsettled.spent().mTokens);
    }

    /** Returns the most tokens spent above burst and rate over any interval; at most 0 if none. */
    private static double maxExcessTokens(List<Spent> history) {
        List<Spent> sorted = new ArrayList<>(history);
        sorted.sort((a, b) -> Long.compare(a.mTimeNanos, b.mTimeNanos));
        double minBalance = Double.POSITIVE_INFINITY;
        double maxExcess = Double.NEGATIVE_INFINITY;
        double spentTokens = 0;
        for (Spent spent : sorted) {
            double accruedTokens = TOKENS_PER_SECOND * spent.mTimeNanos / 1e9;
            minBalance = Math.min(minBalance, spentTokens - accruedTokens);
            spentTokens += spent.mTokens;
            maxExcess =
                    Math.max(maxExcess, spentTokens - accruedTokens - minBalance - BURST_TOKENS);
        }
        return maxExcess;
    }

    @Example
    void startsEmpty() {
        HomeBucket bucket = new HomeBucket(LIMIT, 0);
        assertThat(bucket.grant(new GrantId("a"), 10, 0, 0)).isZero();
    }

    @Example
    void repeatedGrantReturnsTheSameAndSubtractsOnce() {
        HomeBucket bucket = new HomeBucket(LIMIT, 0);
        long now = 1_000 * MILLI_NANOS;
        assertThat(bucket.grant(new GrantId("a"), 300, now, now)).isEqualTo(300);
        assertThat(bucket.grant(new GrantId("a"), 300, now, now)).isEqualTo(300);
        assertThat(bucket.levelTokens(now)).isEqualTo(700);
    }

    @Example
    void repeatedSettlementRefundsOnce() {
        HomeBucket bucket = new HomeBucket(LIMIT, 0);
        long now = 1_000 * MILLI_NANOS;
        bucket.grant(new GrantId("a"), 300, now, now);
        assertThat(bucket.settle(new GrantId("a"), 300, now)).isTrue();
        assertThat(bucket.settle(new GrantId("a"), 300, now)).isFalse();
        assertThat(bucket.levelTokens(now)).isEqualTo(1_000);
    }

    @Example
    void accruesToTheBurstOnceHoldsHaveEnded() {
        HomeBucket bucket = new HomeBucket(LIMIT, 0);
        long full = 5_000 * MILLI_NANOS;
        bucket.grant(new GrantId("a"), BURST_TOKENS, full + HomeBuckets.GRANT_HOLD_NANOS, full);
        long later = full + 20_000 * MILLI_NANOS;
        assertThat(bucket.levelTokens(later)).isEqualTo(BURST_TOKENS);
    }

    @Example
    void useBeyondTheGrantMakesTheLevelNegative() {
        HomeBucket bucket = new HomeBucket(LIMIT, 0);
        long now = 1_000 * MILLI_NANOS;
        bucket.grant(new GrantId("a"), 1_000, now, now);
        bucket.settle(new GrantId("a"), -500, now);
        assertThat(bucket.levelTokens(now)).isEqualTo(-500);
        assertThat(bucket.grant(new GrantId("b"), 1, now, now)).isZero();
    }
}
