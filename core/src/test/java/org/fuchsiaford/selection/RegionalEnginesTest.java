package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.RegionMap;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.stream.ServedVersions;

/** Requests that are bound to regions, beside others in the same queue. */
class RegionalEnginesTest {
    private static final HostId SELF = new HostId("self");
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final EngineCapacity CAPACITY = new EngineCapacity(64, 10_000, 500);

    private final List<LiveServer> mEngines = new ArrayList<>();
    private final EngineScheduler mScheduler = scheduler();
    private long mNowNanos = SECOND;

    private EngineScheduler scheduler() {
        RegionMap regions =
                new RegionMap(
                        Map.of(
                                new FailureDomainId("d1"),
                                new RegionId("r1"),
                                new FailureDomainId("d2"),
                                new RegionId("r2")));
        EnginePool pool =
                new EnginePool() {
                    @Override
                    public List<LiveServer> usable(ServiceId service, long nowNanos) {
                        return mEngines;
                    }

                    @Override
                    public RegionMap regions() {
                        return regions;
                    }

                    @Override
                    public EngineCapacity capacity(ServiceId service) {
                        return CAPACITY;
                    }
                };
        LoadTracker loads = new LoadTracker();
        ServedVersions versions = new ServedVersions();
        versions.replace(TestServers.SERVICE, List.of(TestServers.plain("any", "d1").version()));
        return new EngineScheduler(
                SELF,
                pool,
                loads,
                new EnginePlanner(loads, new ServerHealth(), () -> 0),
                new EngineQueues(),
                service -> 0,
                new PromptQuarantine(),
                versions,
                new ServerRateLimiter(new ServerLimits(), () -> 1),
                () -> 0);
    }

    private void add(String id, String domain, EngineStage stage) {
        mEngines.add(TestServers.server(id, domain, Optional.of(stage), false, 1));
    }

    private EngineAnswer submit(String id, int promptTokens, String... regions) {
        mNowNanos++;
        List<RegionId> allowed = Stream.of(regions).map(RegionId::new).toList();
        return mScheduler.submit(
                new EngineRequest(
                        SELF,
                        new FailureDomainId("d2"),
                        new RequestId(id),
                        TestServers.SERVICE,
                        new TokenCounts(promptTokens, 100),
                        List.of(),
                        1,
                        Set.of(),
                        Optional.empty(),
                        900,
                        mNowNanos,
                        mNowNanos + 4 * SECOND,
                        mNowNanos + 14 * SECOND,
                        new RequestAttributes("route", null, 0, allowed)),
                mNowNanos);
    }

    private static EnginePlan plan(EngineAnswer answer) {
        assertThat(answer).isInstanceOf(EngineAnswer.Granted.class);
        return ((EngineAnswer.Granted) answer).plan();
    }

    private static String decodeEngine(EngineAnswer answer) {
        return plan(answer).decode().id().value();
    }

    private List<String> dispatch() {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(50);
        return mScheduler.dispatch(mNowNanos).stream()
                .map(EngineAnswer.Granted.class::cast)
                .map(granted -> granted.request().request() + " " + decodeEngine(granted))
                .toList();
    }

    /** Guards against a nearer or emptier engine in a region that is not allowed. */
    @Example
    void aBoundRequestGetsEnginesOfItsRegionsOnly() {
        add("one", "d1", EngineStage.DECODE);
        add("two", "d2", EngineStage.DECODE);
        add("unknown", "d3", EngineStage.DECODE);
        assertThat(decodeEngine(submit("a", 3_000, "r1"))).isEqualTo("one");
        assertThat(decodeEngine(submit("b", 3_000, "r1"))).isEqualTo("one");
        assertThat(decodeEngine(submit("c", 3_000, "r2"))).isEqualTo("two");
    }

    /** Guards against KV cache of a bound request that is read in another region. */
    @Example
    void aBoundRequestIsPrefilledInItsRegionsOnly() {
        add("one", "d1", EngineStage.DECODE);
        add("prefill", "d2", EngineStage.PREFILL);
        assertThat(plan(submit("a", 9_000, "r1", "r2")).prefill()).isPresent();
        mScheduler.release(new RequestId("a"));
        assertThat(plan(submit("b", 9_000, "r1")).prefill()).isEmpty();
    }

    @Example
    void aBoundRequestIsRefusedAtOnceIfItsRegionsHaveNoEngine() {
        add("two", "d2", EngineStage.DECODE);
        add("unknown", "d3", EngineStage.DECODE);
        EngineAnswer answer = submit("a", 3_000, "r1");
        assertThat(answer).isInstanceOf(EngineAnswer.Refused.class);
        assertThat(((EngineAnswer.Refused) answer).reason()).contains("region");
    }

    /** Guards against a full region that holds up all requests of a service. */
    @Example
    void aRequestThatWaitsForItsRegionDoesNotHoldUpOthers() {
        add("one", "d1", EngineStage.DECODE);
        add("two", "d2", EngineStage.DECODE);
        submit("full-1", 9_000, "r1");
        assertThat(submit("bound", 2_000, "r1")).isInstanceOf(EngineAnswer.Waiting.class);
        assertThat(decodeEngine(submit("free", 2_000))).isEqualTo("two");
        assertThat(decodeEngine(submit("full-2", 7_000, "r2"))).isEqualTo("two");
        submit("bound-2", 2_000, "r2");
        submit("bound-3", 2_000, "r1");
        submit("free-2", 2_000);
        assertThat(dispatch()).isEmpty();

        mScheduler.release(new RequestId("full-2"));
        assertThat(dispatch()).containsExactly("bound-2 two", "free-2 two");
        mScheduler.release(new RequestId("full-1"));
        assertThat(dispatch()).containsExactly("bound one", "bound-3 one");
        assertThat(mScheduler.isIdle()).isTrue();
    }
}
