package org.fuchsiaford.serverlimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.registry.ServerRun;

/** Which response about the limit of a server prevails, and when a limit ends. */
class ServerLimitsTest {
    private static final ServerRun RUN = new ServerRun(new BackendServerId("s"), 1);
    private static final ServerRun NEXT_RUN = new ServerRun(new BackendServerId("s"), 2);
    private static final double NONE = Double.POSITIVE_INFINITY;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ServerLimits mLimits = new ServerLimits();

    @Example
    void theNewestResponsePrevails() {
        assertThat(mLimits.record(RUN, 2, 5 * SECOND)).isTrue();
        assertThat(mLimits.record(RUN, 2, 6 * SECOND)).isFalse();
        assertThat(mLimits.record(RUN, 9, 4 * SECOND)).isFalse();
        assertThat(mLimits.requestsPerSecond(RUN)).isEqualTo(2);
        assertThat(mLimits.record(RUN, NONE, 7 * SECOND)).isTrue();
        assertThat(mLimits.isLimited(RUN)).isFalse();
    }

    @Example
    void aNewRunInheritsNothing() {
        mLimits.record(RUN, 2, 0);
        assertThat(mLimits.isLimited(NEXT_RUN)).isFalse();
    }

    @Example
    void whatAnotherHostKnowsCountsByItsAge() {
        mLimits.record(RUN, 2, 5 * SECOND);
        List<NamedLimit> older = List.of(new NamedLimit(RUN, NONE, 1_500));
        List<NamedLimit> newer = List.of(new NamedLimit(RUN, 3, 500));
        assertThat(mLimits.merge(older, 6 * SECOND)).isEmpty();
        assertThat(mLimits.merge(newer, 6 * SECOND)).isEqualTo(newer);
        assertThat(mLimits.requestsPerSecond(RUN)).isEqualTo(3);
    }

    @Example
    void theEndOfALimitReachesHostsThatHearOfItLater() {
        ServerLimits other = new ServerLimits();
        mLimits.record(RUN, 2, 0);
        other.merge(mLimits.list(SECOND, SECOND), SECOND);
        mLimits.record(RUN, NONE, 2 * SECOND);
        other.merge(mLimits.list(2 * SECOND, 3 * SECOND), 3 * SECOND);
        assertThat(other.isLimited(RUN)).isFalse();
    }

    @Example
    void aLimitDoesNotEndByTime() {
        mLimits.record(RUN, 2, 0);
        mLimits.removeOld(run -> true, 10_000 * SECOND);
        assertThat(mLimits.isLimited(RUN)).isTrue();
        mLimits.removeOld(run -> false, 10_000 * SECOND);
        assertThat(mLimits.isLimited(RUN)).isFalse();
    }
}
