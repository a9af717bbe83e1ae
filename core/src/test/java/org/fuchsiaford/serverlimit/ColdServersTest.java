package org.fuchsiaford.serverlimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.ColdStart;

/** When a server counts as cold, and what hosts that decide by themselves send it then. */
class ColdServersTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final ColdStart RULE = new ColdStart(3 * SECOND, 7.6);
    private static final LiveServer ENGINE = TestServers.engine("e", EngineStage.DECODE);
    private static final OptionalLong UNSTATED = OptionalLong.empty();

    private final ColdServers mCold = new ColdServers(service -> RULE);

    private boolean isCold(long nowNanos) {
        return mCold.isCold(ENGINE.run(), nowNanos);
    }

    /** Guards against a fleet that is slow because all its servers have just started. */
    @Example
    void serversThatStartTogetherAreWarmUnlessTheySayOtherwise() {
        LiveServer other = TestServers.engine("other", EngineStage.DECODE);
        assertThat(mCold.register(ENGINE, UNSTATED, true, 0)).isFalse();
        assertThat(mCold.register(other, OptionalLong.of(1_000), true, SECOND)).isTrue();
        assertThat(isCold(SECOND)).isFalse();
        assertThat(mCold.isCold(other.run(), 2 * SECOND - 1)).isTrue();
        assertThat(mCold.isCold(other.run(), 2 * SECOND)).isFalse();
    }

    @Example
    void aRunThatStartsBesideOthersIsColdBeforeItsRegistrationSaysSo() {
        mCold.register(TestServers.engine("other", EngineStage.DECODE), UNSTATED, true, 0);
        assertThat(mCold.register(ENGINE, OptionalLong.of(0), true, 10 * SECOND)).isTrue();
        assertThat(isCold(13 * SECOND - 1)).isTrue();
        assertThat(isCold(13 * SECOND)).isFalse();
    }

    @Example
    void aServerThatIsNotReachedIsColdUnlessItHasJustAnsweredAnotherHost() {
        mCold.recordAnswer(ENGINE.id(), 0);
        assertThat(mCold.markUnreachable(ENGINE, SECOND)).isFalse();
        assertThat(mCold.markUnreachable(ENGINE, 2 * SECOND)).isTrue();
        assertThat(isCold(5 * SECOND)).isTrue();
    }

    /** Guards against hosts that keep a server cold for ever by telling each other. */
    @Example
    void reportsThatReturnLateDoNotProlongTheTime() {
        ColdServers other = new ColdServers(service -> RULE);
        mCold.markCold(ENGINE, 0);
        long delayNanos = TimeUnit.MILLISECONDS.toNanos(600);
        for (long nanos = 0; nanos < 6 * SECOND; nanos += 2 * delayNanos) {
            other.merge(mCold.list(nanos), nanos + delayNanos);
            mCold.merge(other.list(nanos + delayNanos), nanos + 2 * delayNanos);
        }
        assertThat(isCold(3 * SECOND)).isFalse();
    }

    @Example
    void whatAnotherHostFoundLaterProlongsTheTime() {
        ColdServers other = new ColdServers(service -> RULE);
        mCold.markCold(ENGINE, 0);
        other.markCold(ENGINE, 2 * SECOND);
        assertThat(mCold.merge(other.list(2 * SECOND), 2 * SECOND)).hasSize(1);
        assertThat(isCold(4 * SECOND)).isTrue();
        assertThat(mCold.listOwn(Long.MAX_VALUE, 4 * SECOND)).isEmpty();
    }

    @Example
    void serversOfOtherServicesAreNeverCold() {
        ColdServers none = new ColdServers(service -> ColdStart.NONE);
        assertThat(none.register(ENGINE, OptionalLong.of(3_000), true, 0)).isFalse();
        assertThat(none.markUnreachable(ENGINE, 0)).isFalse();
        assertThat(none.isCold(ENGINE.run(), 0)).isFalse();
        assertThat(none.list(0)).isEmpty();
    }

    @Example
    void aRegistrationCannotKeepRequestsAwayForGood() {
        mCold.register(ENGINE, OptionalLong.of(Long.MAX_VALUE), false, 0);
        assertThat(isCold(ColdServers.MAX_COLD_NANOS)).isFalse();
    }

    @Example
    void aHostThatIsCutOffTakesServersForCold() {
        mCold.register(ENGINE, UNSTATED, true, 0);
        assertThat(new UnseenServers(mCold, () -> false).rate(ENGINE.run(), 0).isLimited())
                .isFalse();
        assertThat(new UnseenServers(mCold, () -> true).rate(ENGINE.run(), 0).isLimited()).isTrue();
    }

    /** Guards against permits that many hosts save up while they decide by themselves. */
    @Example
    void hostsThatDecideByThemselvesTogetherStayWithinTheBoundAndSendSome() {
        Random random = new Random(41);
        for (int hosts : new int[] {6, 20, 95, 390}) {
            mCold.register(ENGINE, OptionalLong.of(60_000), false, 0);
            List<ServerRateLimiter> limiters =
                    IntStream.range(0, hosts).mapToObj(i -> limiter(hosts, random)).toList();
            long all = 0;
            for (long nanos : new long[] {0, 20 * SECOND, 40 * SECOND, 59 * SECOND}) {
                long sent = limiters.stream().mapToLong(l -> sentInASecond(l, nanos)).sum();
                assertThat((double) sent).isLessThanOrEqualTo(1.5 * 7.6 + 5);
                all += sent;
            }
            assertThat(all).isPositive();
            mCold.removeOld(run -> true, 61 * SECOND);
        }
    }

    private ServerRateLimiter limiter(int hosts, Random random) {
        return new ServerRateLimiter(
                new ServerLimits(), List.of(mCold), () -> 1.0 / hosts, random::nextDouble);
    }

    private static long sentInASecond(ServerRateLimiter limiter, long fromNanos) {
        return IntStream.range(0, 100)
                .filter(i -> limiter.acquire(ENGINE.run(), fromNanos + i * SECOND / 100) == 0)
                .count();
    }
}
