package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;

/** Guards against a measured load in which bursts are averaged away, or that is out of date. */
class EngineDemandTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final EngineDemand mDemand = new EngineDemand();

    private void arrive(int requests, long promptTokens, boolean apart, long nowNanos) {
        for (int i = 0; i < requests; i++) {
            mDemand.recordArrival(
                    new EngineRequest(
                            new HostId("h"),
                            new FailureDomainId("z"),
                            new RequestId("r"),
                            TestServers.SERVICE,
                            new TokenCounts(promptTokens, 100, 100),
                            List.of(),
                            1,
                            Set.of(),
                            Optional.empty(),
                            900,
                            0,
                            0,
                            0,
                            RequestAttributes.NONE),
                    apart,
                    nowNanos);
        }
    }

    private Optional<EngineLoadSample> sample(long nowNanos) {
        return mDemand.sample(TestServers.SERVICE, nowNanos);
    }

    @Example
    void eachIntervalHasItsOwnRate() {
        arrive(50, 1_000, false, 0);
        arrive(10, 2_500, true, 6 * SECOND);
        mDemand.recordDecodeRead(TestServers.SERVICE, 5_000, 7 * SECOND);
        mDemand.recordRun(TestServers.SERVICE, 3 * SECOND, 7 * SECOND);
        EngineLoadSample sample = sample(10 * SECOND).orElseThrow();
        assertThat(sample.arrivalsPerSecond()).containsExactly(10.0, 2.0);
        assertThat(sample.measuredNanos()).isEqualTo(10 * SECOND);
        assertThat(sample.promptTokens()).isEqualTo(1_250);
        assertThat(sample.apartFraction()).isEqualTo(25_000.0 / 75_000);
        assertThat(sample.kvTokens()).isEqualTo(1_310);
        assertThat(sample.targetMillis()).isEqualTo(900);
        assertThat(sample.decodeReadTokensPerSecond()).isEqualTo(500);
        assertThat(sample.runNanos()).isEqualTo(3 * SECOND);
    }

    @Example
    void anIntervalCountsOnceItIsOver() {
        arrive(50, 1_000, false, 0);
        mDemand.recordRun(TestServers.SERVICE, 3 * SECOND, 4 * SECOND);
        assertThat(sample(5 * SECOND - 1)).isEmpty();
        assertThat(sample(5 * SECOND)).isPresent();
    }

    @Example
    void loadIsForgottenAfterAMinuteAndOnAReset() {
        arrive(50, 1_000, false, 0);
        mDemand.recordRun(TestServers.SERVICE, 3 * SECOND, 4 * SECOND);
        assertThat(sample(60 * SECOND)).isPresent();
        assertThat(sample(66 * SECOND)).isEmpty();
        arrive(50, 1_000, false, 66 * SECOND);
        mDemand.reset();
        assertThat(sample(120 * SECOND)).isEmpty();
    }
}
