package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.stream.ServedVersions;

/** Engines of two software versions, and streams that may go on at one of them only. */
class VersionedEnginesTest {
    private static final HostId SELF = new HostId("self");
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final EngineCapacity CAPACITY = new EngineCapacity(64, 10_000, 500);
    private static final Optional<SoftwareVersion> OLD = Optional.of(new SoftwareVersion("v1"));
    private static final Optional<SoftwareVersion> NEW = Optional.of(new SoftwareVersion("v2"));

    private final List<LiveServer> mEngines = new ArrayList<>();
    private final ServedVersions mVersions = new ServedVersions();
    private final EngineScheduler mScheduler = scheduler();
    private long mNowNanos = SECOND;

    private EngineScheduler scheduler() {
        EnginePool pool =
                new EnginePool() {
                    @Override
                    public List<LiveServer> usable(ServiceId service, long nowNanos) {
                        return mEngines;
                    }

                    @Override
                    public EngineCapacity capacity(ServiceId service) {
                        return CAPACITY;
                    }
                };
        LoadTracker loads = new LoadTracker();
        mVersions.replace(TestServers.SERVICE, List.of(OLD.get(), NEW.get()));
        return new EngineScheduler(
                SELF,
                pool,
                loads,
                new EnginePlanner(loads, new ServerHealth(), () -> 0),
                new EngineQueues(),
                service -> 0,
                new PromptQuarantine(),
                mVersions,
                new ServerRateLimiter(new ServerLimits(), () -> 1),
                () -> 0);
    }

    private void addDecodeEngine(String id, Optional<SoftwareVersion> version) {
        mEngines.add(TestServers.engine(id, EngineStage.DECODE, version.get().value()));
    }

    private EngineAnswer submit(String id, Optional<SoftwareVersion> version, int promptTokens) {
        return mScheduler.submit(
                new EngineRequest(
                        SELF,
                        new FailureDomainId("here"),
                        new RequestId(id),
                        TestServers.SERVICE,
                        new TokenCounts(promptTokens, 100),
                        List.of(),
                        1,
                        Set.of(),
                        version,
                        900,
                        mNowNanos,
                        mNowNanos + 4 * SECOND,
                        mNowNanos + 14 * SECOND,
                        RequestAttributes.NONE),
                mNowNanos);
    }

    private static String decodeEngine(EngineAnswer answer) {
        assertThat(answer).isInstanceOf(EngineAnswer.Granted.class);
        return ((EngineAnswer.Granted) answer).plan().decode().id().value();
    }

    private String grantedLater(String request) {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(50);
        return mScheduler.dispatch(mNowNanos).stream()
                .map(EngineAnswer.Granted.class::cast)
                .filter(granted -> granted.request().request().value().equals(request))
                .map(VersionedEnginesTest::decodeEngine)
                .findAny()
                .orElse("none");
    }

    @Example
    void aStreamThatHasBegunGetsAnEngineOfItsVersionHoweverLoaded() {
        addDecodeEngine("old", OLD);
        addDecodeEngine("new", NEW);
        submit("load", OLD, 5_000);
        for (int i = 0; i < 4; i++) {
            assertThat(decodeEngine(submit("s" + i, OLD, 100))).isEqualTo("old");
        }
    }

    @Example
    void aStreamWhoseVersionIsGoneIsRefusedAtOnce() {
        addDecodeEngine("new", NEW);
        mEngines.add(TestServers.engine("old", EngineStage.PREFILL, "v1"));
        assertThat(submit("s", OLD, 100)).isInstanceOf(EngineAnswer.Refused.class);
        assertThat(decodeEngine(submit("anew", Optional.empty(), 100))).isEqualTo("new");
    }

    @Example
    void roomGoesToAStreamThatHasBegunBeforeANewOne() {
        addDecodeEngine("old", OLD);
        addDecodeEngine("new", NEW);
        submit("full-old", OLD, 9_500);
        submit("full-new", NEW, 9_500);
        assertThat(submit("new-stream", Optional.empty(), 4_000))
                .isInstanceOf(EngineAnswer.Waiting.class);
        assertThat(submit("begun", OLD, 4_000)).isInstanceOf(EngineAnswer.Waiting.class);
        mScheduler.release(new RequestId("full-old"));
        assertThat(grantedLater("begun")).isEqualTo("old");
    }

    @Example
    void aNewStreamLeavesTheRoomForWhichAStreamWaitsThatHasBegun() {
        addDecodeEngine("old", OLD);
        addDecodeEngine("new", NEW);
        submit("most-of-old", OLD, 7_000);
        submit("full-new", NEW, 9_500);
        assertThat(submit("begun", OLD, 4_000)).isInstanceOf(EngineAnswer.Waiting.class);
        assertThat(submit("new-stream", Optional.empty(), 1_000))
                .isInstanceOf(EngineAnswer.Waiting.class);
        mScheduler.release(new RequestId("most-of-old"));
        assertThat(grantedLater("begun")).isEqualTo("old");
    }

    @Example
    void aWaitingStreamThatHasBegunHoldsUpNoOthersElsewhere() {
        addDecodeEngine("old", OLD);
        addDecodeEngine("new", NEW);
        submit("full-old", OLD, 9_500);
        assertThat(submit("begun", OLD, 4_000)).isInstanceOf(EngineAnswer.Waiting.class);
        assertThat(decodeEngine(submit("new-stream", Optional.empty(), 4_000))).isEqualTo("new");
    }

    @Example
    void anEngineOfAVersionThatIsNotRecordedGetsNoStreamWhileOthersServe() {
        mVersions.replace(TestServers.SERVICE, List.of(OLD.get()));
        addDecodeEngine("old", OLD);
        addDecodeEngine("new", NEW);
        submit("load", OLD, 5_000);
        assertThat(decodeEngine(submit("s", Optional.empty(), 100))).isEqualTo("old");
        mVersions.replace(TestServers.SERVICE, List.of(OLD.get(), NEW.get()));
        assertThat(decodeEngine(submit("t", Optional.empty(), 100))).isEqualTo("new");
    }

    @Example
    void kvCacheIsNotPassedBetweenVersions() {
        addDecodeEngine("old", OLD);
        mEngines.add(TestServers.engine("prefill", EngineStage.PREFILL, "v2"));
        submit("load", OLD, 6_000);
        EngineAnswer answer = submit("s", OLD, 3_000);
        assertThat(((EngineAnswer.Granted) answer).plan().prefill()).isEmpty();
    }
}
