package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.stream.ServedVersions;

/** A scheduler for the requests of many hosts, in virtual time. */
class EngineSchedulerTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final HostId SELF = new HostId("self");
    private static final HostId OTHER = new HostId("other");
    private static final FailureDomainId DOMAIN = new FailureDomainId("here");
    private static final EngineCapacity CAPACITY = new EngineCapacity(32, 46_605, 500);
    private static final int ENGINES = 74;
    private static final int PREFILL_ENGINES = 12;
    private static final int HOSTS = 95;

    /** Three times the usual rate of 70 prompts a second, for five seconds. */
    private static final int BURST_REQUESTS = 1_050;

    private static final long BURST_NANOS = 5 * SECOND;
    private static final long TARGET_MILLIS = 900;

    private final LoadTracker mLoads = new LoadTracker();
    private final EngineQueues mQueues = new EngineQueues();
    private final ServedVersions mVersions = new ServedVersions();
    private List<LiveServer> mEngines = engines(ENGINES, PREFILL_ENGINES);
    private EngineScheduler mScheduler = scheduler(mLoads, mQueues);

    private static List<LiveServer> engines(int engines, int prefillEngines) {
        return IntStream.range(0, engines)
                .mapToObj(
                        i ->
                                TestServers.engine(
                                        "e" + i,
                                        i < prefillEngines
                                                ? EngineStage.PREFILL
                                                : EngineStage.DECODE))
                .toList();
    }

    private EngineScheduler scheduler(LoadTracker loads, EngineQueues queues) {
        Random random = new Random(5);
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
        return new EngineScheduler(
                SELF,
                pool,
                loads,
                new EnginePlanner(loads, new ServerHealth(), random::nextDouble),
                queues,
                service -> 0,
                new PromptQuarantine(),
                mVersions,
                new ServerRateLimiter(new ServerLimits(), () -> 1),
                random::nextDouble);
    }

    private EngineRequest request(String id, HostId host, TokenCounts tokens, long nowNanos) {
        return new EngineRequest(
                host,
                DOMAIN,
                new RequestId(id),
                mEngines.get(0).service(),
                tokens,
                List.of(),
                1,
                Set.of(),
                Optional.empty(),
                TARGET_MILLIS,
                nowNanos,
                nowNanos + 3_600 * MILLI,
                nowNanos + 14 * SECOND,
                RequestAttributes.NONE);
    }

    private record Run(RequestId request, BackendServerId engine, long tokens, long endNanos) {}

    /** Counts what the engines really hold, whatever the schedulers believe. */
    private static final class Engines {
        private final Map<BackendServerId, Long> mTokens = new HashMap<>();
        private final PriorityQueue<Run> mRuns =
                new PriorityQueue<>((a, b) -> Long.compare(a.endNanos(), b.endNanos()));
        private int mRejected;

        boolean start(EngineAnswer.Granted grant, long nowNanos) {
            BackendServerId engine = grant.plan().decode().id();
            long tokens = grant.request().tokens().plannedKvTokens();
            if (mTokens.getOrDefault(engine, 0L) + tokens > CAPACITY.kvCacheTokens()) {
                mRejected++;
                return false;
            }
            mTokens.merge(engine, tokens, Long::sum);
            long endNanos = nowNanos + 2 * SECOND;
            mRuns.add(new Run(grant.request().request(), engine, tokens, endNanos));
            return true;
        }

        List<Run> end(long nowNanos) {
            List<Run> ended = new ArrayList<>();
            while (!mRuns.isEmpty() && mRuns.peek().endNanos() <= nowNanos) {
                Run run = mRuns.remove();
                mTokens.merge(run.engine(), -run.tokens(), Long::sum);
                ended.add(run);
            }
            return ended;
        }
    }

    private static TokenCounts size(Random random) {
        return new TokenCounts(1_000 + random.nextInt(16_000), 500, 70);
    }

    /** One scheduler for all hosts: an engine never gets more than it has room for. */
    @Property(tries = 5, seed = "41")
    void aBurstFromManyHostsOvercommitsNoEngine(@ForAll Random random) {
        mScheduler = scheduler(new LoadTracker(), new EngineQueues());
        Engines engines = new Engines();
        int granted = 0;
        for (int i = 0; i < BURST_REQUESTS; i++) {
            long nowNanos = SECOND + i * (BURST_NANOS / BURST_REQUESTS);
            engines.end(nowNanos)
                    .forEach(run -> mScheduler.complete(run.request(), 2 * SECOND, nowNanos));
            List<EngineAnswer> answers = new ArrayList<>(mScheduler.dispatch(nowNanos));
            HostId host = new HostId("h" + random.nextInt(HOSTS));
            answers.add(
                    mScheduler.submit(request("r" + i, host, size(random), nowNanos), nowNanos));
            granted += start(engines, answers, nowNanos);
        }
        assertThat(engines.mRejected).isZero();
        assertThat(granted).isGreaterThan(BURST_REQUESTS / 2);
    }

    private int start(Engines engines, List<EngineAnswer> answers, long nowNanos) {
        List<EngineAnswer.Granted> grants =
                answers.stream()
                        .filter(EngineAnswer.Granted.class::isInstance)
                        .map(EngineAnswer.Granted.class::cast)
                        .toList();
        grants.stream()
                .filter(grant -> !engines.start(grant, nowNanos))
                .forEach(grant -> mScheduler.release(grant.request().request()));
        grants.forEach(grant -> mScheduler.recordPrefill(grant.request().request(), 100 * MILLI));
        return grants.size();
    }

    @Example
    void aGrantIsRepeatedToTheHostThatAsksAgain() {
        EngineRequest request = request("r", OTHER, new TokenCounts(4_000, 100), SECOND);
        EngineAnswer granted = mScheduler.submit(request, SECOND);
        assertThat(granted).isInstanceOf(EngineAnswer.Granted.class);
        assertThat(mScheduler.poll(OTHER, request.request(), SECOND)).contains(granted);
        assertThat(mScheduler.poll(SELF, request.request(), SECOND)).isEmpty();
        assertThat(mLoads.totals()).extracting(ServerLoad::requests).containsOnly(1);
    }

    @Example
    void aRequestThatAnotherHostSendsAgainIsNotPlacedTwice() {
        EngineRequest request = request("r", OTHER, new TokenCounts(4_000, 100), SECOND);
        EngineAnswer granted = mScheduler.submit(request, SECOND);
        assertThat(mScheduler.submit(request, SECOND)).isEqualTo(granted);
        assertThat(mLoads.totals()).extracting(ServerLoad::requests).containsOnly(1);
        EngineRequest own = request("own", SELF, new TokenCounts(4_000, 100), SECOND);
        mScheduler.submit(own, SECOND);
        assertThat(mScheduler.submit(own, SECOND)).isInstanceOf(EngineAnswer.Refused.class);
    }

    @Example
    void aGrantThatItsHostDoesNotReportIsReleased() {
        EngineRequest request = request("r", OTHER, new TokenCounts(4_000, 100), SECOND);
        mScheduler.submit(request, SECOND);
        mScheduler.reconcile(OTHER, List.of(), SECOND + SECOND);
        assertThat(mLoads.totals()).isNotEmpty();
        mScheduler.reconcile(OTHER, List.of(request.request()), 3 * SECOND);
        assertThat(mLoads.totals()).isNotEmpty();
        mScheduler.reconcile(OTHER, List.of(), 3 * SECOND);
        assertThat(mLoads.totals()).isEmpty();
    }

    @Example
    void aHostThatIsGoneHoldsNothing() {
        fillEngines();
        mScheduler.submit(request("waiting", OTHER, new TokenCounts(4_000, 100), SECOND), SECOND);
        assertThat(mScheduler.isIdle()).isFalse();
        mScheduler.removeHost(OTHER);
        assertThat(mScheduler.isIdle()).isTrue();
        assertThat(mLoads.totals()).isEmpty();
    }

    /** The host of a queued request has died, or asks another coordinator. */
    @Example
    void aQueuedRequestThatNobodyAsksForIsDropped() {
        fillEngines();
        EngineRequest asked = request("asked", OTHER, new TokenCounts(4_000, 100), SECOND);
        mScheduler.submit(asked, SECOND);
        mScheduler.submit(request("silent", OTHER, new TokenCounts(4_000, 100), SECOND), SECOND);
        mScheduler.poll(OTHER, asked.request(), SECOND + 700 * MILLI);
        mScheduler.dispatch(2 * SECOND + 300 * MILLI);
        assertThat(mScheduler.poll(OTHER, new RequestId("silent"), 2 * SECOND)).isEmpty();
        assertThat(mScheduler.poll(OTHER, asked.request(), 2 * SECOND))
                .map(Object::getClass)
                .isEqualTo(Optional.of(EngineAnswer.Waiting.class));
    }

    private void fillEngines() {
        mEngines = engines(2, 0);
        // Short runs make the estimated wait short enough for requests to be queued.
        EngineQueue queue = mQueues.of(mEngines.get(0).service());
        IntStream.range(0, 20)
                .forEach(i -> queue.observeRunDuration(new TokenCounts(4_000, 100), 0));
        for (int i = 0; i < 2; i++) {
            TokenCounts tokens = new TokenCounts(46_000, 100);
            assertThat(mScheduler.submit(request("full" + i, OTHER, tokens, SECOND), SECOND))
                    .isInstanceOf(EngineAnswer.Granted.class);
        }
    }

    @Example
    void aReleasedEngineIsGrantedToTheNextRequestOfAnyHost() {
        fillEngines();
        EngineRequest next = request("next", OTHER, new TokenCounts(4_000, 100), SECOND);
        assertThat(mScheduler.submit(next, SECOND)).isInstanceOf(EngineAnswer.Waiting.class);
        assertThat(mScheduler.dispatch(SECOND)).isEmpty();
        mScheduler.release(new RequestId("full0"));
        assertThat(mScheduler.dispatch(SECOND))
                .singleElement()
                .isInstanceOfSatisfying(
                        EngineAnswer.Granted.class,
                        grant -> assertThat(grant.request()).isEqualTo(next));
    }

    @Example
    void aPromptLargerThanAnyEngineIsRefusedAtOnce() {
        EngineRequest request = request("r", OTHER, new TokenCounts(46_700, 100), SECOND);
        assertThat(mScheduler.submit(request, SECOND)).isInstanceOf(EngineAnswer.Refused.class);
        assertThat(mLoads.totals()).isEmpty();
    }
}
