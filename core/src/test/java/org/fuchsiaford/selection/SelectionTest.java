package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.TokenCounts;

/** Selection of servers and engines, without jitter. */
class SelectionTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final FailureDomainId HERE = new FailureDomainId("here");
    private static final EngineCapacity CAPACITY = new EngineCapacity(8, 50_000, 500);
    private static final long TARGET_MILLIS = 900;

    private final LoadTracker mLoads = new LoadTracker();
    private final ServerHealth mHealth = new ServerHealth();
    private final ServerSelector mSelector = new ServerSelector(HERE, mLoads, mHealth, () -> 0);
    private final EnginePlanner mPlanner = new EnginePlanner(mLoads, mHealth, () -> 0);
    private final LiveServer mNear = TestServers.plain("near", "here");
    private final LiveServer mFar = TestServers.plain("far", "there");

    private Optional<LiveServer> pick(LiveServer... servers) {
        return mSelector.pick(List.of(servers), Set.of(), SECOND);
    }

    @Example
    void theOwnFailureDomainIsPreferredUnlessItsLoadIsMuchHigher() {
        assertThat(pick(mNear, mFar)).contains(mNear);
        mLoads.add(new ServerLoad(mNear.id(), 1, 0, 0));
        assertThat(pick(mNear, mFar)).contains(mNear);
        mLoads.replaceRemoteLoads(List.of(new ServerLoad(mNear.id(), 1, 0, 0)));
        assertThat(pick(mNear, mFar)).contains(mFar);
    }

    @Example
    void aServerWithRecentFailuresIsAvoidedForAWhile() {
        for (int i = 0; i < 3; i++) {
            mHealth.recordFailure(mNear.id(), SECOND);
        }
        assertThat(pick(mNear, mFar)).contains(mFar);
        assertThat(mSelector.pick(List.of(mNear, mFar), Set.of(), 20 * SECOND)).contains(mNear);
    }

    @Example
    void aSlowServerIsAvoided() {
        mHealth.recordSuccess(mFar.id(), 20, SECOND);
        mHealth.recordSuccess(mNear.id(), 200, SECOND);
        assertThat(pick(mNear, mFar)).contains(mFar);
    }

    @Example
    void aPausedServerIsPickedOnlyIfAllArePaused() {
        mHealth.pause(mNear.id(), SECOND, SECOND);
        assertThat(pick(mNear, mFar)).contains(mFar);
        assertThat(pick(mNear)).contains(mNear);
        mHealth.remove(mNear.id());
        assertThat(pick(mNear, mFar)).contains(mNear);
    }

    @Example
    void noServerIsPickedIfAllAreFull() {
        mLoads.add(new ServerLoad(mNear.id(), 18, 0, 0));
        assertThat(pick(mNear)).isEmpty();
    }

    private Optional<EnginePlan> plan(long promptTokens, LiveServer... engines) {
        return mPlanner.plan(
                List.of(engines),
                new EngineRequest(
                        new HostId("h"),
                        HERE,
                        new RequestId("r"),
                        engines[0].service(),
                        new TokenCounts(promptTokens, 100),
                        List.of(),
                        1,
                        Set.of(),
                        Optional.empty(),
                        TARGET_MILLIS,
                        0,
                        SECOND,
                        SECOND,
                        RequestAttributes.NONE),
                CAPACITY,
                SECOND);
    }

    private final LiveServer mDecode = TestServers.engine("d", EngineStage.DECODE);
    private final LiveServer mOtherDecode = TestServers.engine("e", EngineStage.DECODE);
    private final LiveServer mPrefill = TestServers.engine("p", EngineStage.PREFILL);

    @Example
    void anIdleDecodeEnginePrefillsAShortPromptItself() {
        assertThat(plan(2_000, mDecode, mPrefill).orElseThrow().prefill()).isEmpty();
    }

    @Example
    void aPrefillEngineIsUsedIfTheDecodeEngineWouldTakeTooLong() {
        assertThat(plan(20_000, mDecode, mPrefill).orElseThrow().prefill()).contains(mPrefill);
        mLoads.add(new ServerLoad(mDecode.id(), 1, 8_000, 8_000));
        assertThat(plan(2_000, mDecode, mPrefill).orElseThrow().prefill()).contains(mPrefill);
    }

    @Example
    void pausesDoubleUntilARequestSucceeds() {
        mHealth.pause(mNear.id(), SECOND, 0);
        assertThat(mHealth.isPaused(mNear.id(), SECOND - 1)).isTrue();
        assertThat(mHealth.isPaused(mNear.id(), SECOND)).isFalse();
        mHealth.pause(mNear.id(), SECOND, SECOND);
        assertThat(mHealth.isPaused(mNear.id(), 3 * SECOND - 1)).isTrue();
        mHealth.recordSuccess(mNear.id(), 1, 3 * SECOND);
        mHealth.pause(mNear.id(), SECOND, 4 * SECOND);
        assertThat(mHealth.isPaused(mNear.id(), 5 * SECOND)).isFalse();
    }

    @Example
    void noPrefillEngineIsUsedForAnUnreliableDecodeEngine() {
        assertThat(plan(20_000, mDecode, mPrefill).orElseThrow().prefill()).contains(mPrefill);
        mHealth.recordFailure(mDecode.id(), SECOND);
        assertThat(plan(20_000, mDecode, mPrefill).orElseThrow().prefill()).isEmpty();
    }

    @Example
    void aBusyDecodeEngineLeavesShortPromptsToAPrefillEngineWithASmallBacklog() {
        mLoads.add(new ServerLoad(mDecode.id(), 5, 30_000, 0));
        assertThat(plan(2_000, mDecode, mPrefill).orElseThrow().prefill()).contains(mPrefill);
        mLoads.add(new ServerLoad(mPrefill.id(), 9, 60_000, 60_000));
        assertThat(plan(2_000, mDecode, mPrefill).orElseThrow().prefill()).isEmpty();
    }

    @Example
    void withoutAPrefillEngineTheDecodeEnginePrefillsAllPrompts() {
        assertThat(plan(20_000, mDecode).orElseThrow().prefill()).isEmpty();
        mHealth.pause(mPrefill.id(), SECOND, SECOND);
        assertThat(plan(20_000, mDecode, mPrefill).orElseThrow().prefill()).isEmpty();
    }

    /**
     * After the loss of two of four engines the others have free KV cache, but a prefill backlog of
     * more than a second, so requests sent to them would be late.
     */
    @Example
    void noEngineIsSelectedWhilePrefillBacklogsAreTooLarge() {
        mLoads.add(new ServerLoad(mDecode.id(), 5, 25_000, 25_000));
        mLoads.add(new ServerLoad(mOtherDecode.id(), 5, 30_000, 10_000));
        assertThat(plan(5_000, mDecode, mOtherDecode)).isEmpty();
        mLoads.remove(new ServerLoad(mOtherDecode.id(), 1, 5_000, 5_000));
        assertThat(plan(5_000, mDecode, mOtherDecode).orElseThrow().decode())
                .isEqualTo(mOtherDecode);
        LiveServer elsewhere =
                TestServers.server("g", "there", Optional.of(EngineStage.DECODE), false, 1);
        assertThat(plan(5_000, mDecode, elsewhere).orElseThrow().decode()).isEqualTo(elsewhere);
        assertThat(plan(40_000, mPrefill, TestServers.engine("f", EngineStage.DECODE))).isPresent();
    }

    @Example
    void noPlanExceedsSeatsOrKvCache() {
        mLoads.add(new ServerLoad(mDecode.id(), 1, 45_000, 0));
        mLoads.replaceRemoteLoads(List.of(new ServerLoad(mOtherDecode.id(), 8, 1_000, 0)));
        assertThat(plan(5_000, mDecode, mOtherDecode, mPrefill)).isEmpty();
        assertThat(plan(4_000, mDecode, mOtherDecode, mPrefill).orElseThrow().decode())
                .isEqualTo(mDecode);
    }

    @Example
    void aRequestLargerThanTheKvCacheGoesOnlyToAnIdleEngine() {
        assertThat(plan(90_000, mDecode)).isPresent();
        mLoads.add(new ServerLoad(mDecode.id(), 1, 10, 0));
        assertThat(plan(90_000, mDecode)).isEmpty();
    }

    @Example
    void removedLoadsLeaveNoRemainder() {
        ServerLoad load = new ServerLoad(mDecode.id(), 1, 500, 400);
        mLoads.add(load);
        mLoads.remove(new ServerLoad(mDecode.id(), 0, 0, 400));
        assertThat(mLoads.total(mDecode.id())).isEqualTo(new ServerLoad(mDecode.id(), 1, 500, 0));
        mLoads.remove(new ServerLoad(mDecode.id(), 1, 500, 0));
        assertThat(mLoads.localLoads()).isEmpty();
    }
}
