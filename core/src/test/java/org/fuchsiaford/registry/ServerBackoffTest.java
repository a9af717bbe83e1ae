package org.fuchsiaford.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;

/** Servers that want no requests for a while. */
class ServerBackoffTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ServerBackoff mBackoff = new ServerBackoff();
    private final LiveServer mServer = TestServers.plain("s", "here");
    private final LiveServer mOther = TestServers.plain("o", "here");

    @Example
    void aPauseEndsAtItsTime() {
        mBackoff.start(mServer, 2_000, 0);
        assertThat(mBackoff.isActive(mServer, 2 * SECOND - 1)).isTrue();
        assertThat(mBackoff.isActive(mServer, 2 * SECOND)).isFalse();
        assertThat(mBackoff.acceptingNow(List.of(mServer, mOther), SECOND)).containsExactly(mOther);
    }

    @Example
    void aShorterPauseDoesNotEndALongerOne() {
        mBackoff.start(mServer, 3_000, 0);
        mBackoff.start(mServer, 1_000, SECOND);
        assertThat(mBackoff.isActive(mServer, 2_500_000_000L)).isTrue();
    }

    @Example
    void aNewRunOfAServerIsNotPaused() {
        mBackoff.start(mServer, 3_000, 0);
        LiveServer restarted = TestServers.server("s", "here", Optional.empty(), false, 2);
        assertThat(mBackoff.isActive(restarted, SECOND)).isFalse();
        mBackoff.start(restarted, 500, SECOND);
        assertThat(mBackoff.isActive(restarted, SECOND)).isTrue();
        assertThat(mBackoff.isActive(restarted, 2 * SECOND)).isFalse();
    }

    @Example
    void noPauseIsLongerThanTheMaximum() {
        mBackoff.start(mServer, TimeUnit.DAYS.toMillis(1), 0);
        long endNanos = TimeUnit.MILLISECONDS.toNanos(ServerBackoff.MAX_BACKOFF_MILLIS);
        assertThat(mBackoff.isActive(mServer, endNanos - 1)).isTrue();
        assertThat(mBackoff.isActive(mServer, endNanos)).isFalse();
    }

    @Example
    void theFirstServerToReturnDecidesHowLongToWait() {
        assertThat(mBackoff.millisUntilFirstEnds(List.of(), 0)).isZero();
        mBackoff.start(mServer, 3_000, 0);
        assertThat(mBackoff.millisUntilFirstEnds(List.of(mServer, mOther), 0)).isZero();
        mBackoff.start(mOther, 2_000, 0);
        assertThat(mBackoff.millisUntilFirstEnds(List.of(mServer, mOther), 0)).isEqualTo(2_000);
        assertThat(mBackoff.millisUntilFirstEnds(List.of(mServer, mOther), 2 * SECOND - 1))
                .isEqualTo(1);
    }
}
