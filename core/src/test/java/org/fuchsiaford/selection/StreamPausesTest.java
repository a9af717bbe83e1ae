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

/**
 * Guards against prompts that are read beside running streams although the streams then make longer
 * pauses than their routes allow.
 */
class StreamPausesTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final FailureDomainId HERE = new FailureDomainId("here");
    private static final EngineCapacity CAPACITY =
            new EngineCapacity(64, 100_000, 500, 7, 100_000, 100_000, 6_000);
    private static final long GAP_TARGET_MILLIS = 300;
    private static final long SPEED_TOKENS_PER_MILLI = 56;

    private final LoadTracker mLoads = new LoadTracker();
    private final ServerHealth mHealth = new ServerHealth();
    private final EnginePlanner mPlanner = new EnginePlanner(mLoads, mHealth, () -> 0);
    private final LiveServer mDecode = TestServers.engine("d", EngineStage.DECODE);
    private final LiveServer mOtherDecode = TestServers.engine("e", EngineStage.DECODE);
    private final LiveServer mPrefill = TestServers.engine("p", EngineStage.PREFILL);
    private final LiveServer mFarPrefill =
            TestServers.server("far", "there", Optional.of(EngineStage.PREFILL), false, 1);
    private int mRequests;

    StreamPausesTest() {
        for (int i = 0; i < 100; i++) {
            mPlanner.observePrefill(mDecode.service(), SPEED_TOKENS_PER_MILLI * 100, 100 * MILLI);
        }
    }

    private EngineRequest request(long promptTokens, long gapTargetMillis) {
        mRequests++;
        return new EngineRequest(
                new HostId("h"),
                HERE,
                new RequestId("r" + mRequests),
                mDecode.service(),
                new TokenCounts(promptTokens, 500),
                List.of(),
                1,
                Set.of(),
                Optional.empty(),
                1_800,
                0,
                SECOND,
                SECOND,
                new RequestAttributes("route", null, gapTargetMillis, List.of()));
    }

    private EnginePlan plan(EngineRequest request, LiveServer... engines) {
        return mPlanner.plan(List.of(engines), request, CAPACITY, SECOND).orElseThrow();
    }

    private EngineRequest place(long promptTokens, long gapTargetMillis, LiveServer decode) {
        EngineRequest request = request(promptTokens, gapTargetMillis);
        EnginePlan plan = new EnginePlan(decode, Optional.empty());
        mPlanner.recordGrant(request, plan, CAPACITY, SECOND);
        mLoads.add(new ServerLoad(decode.id(), 1, promptTokens, promptTokens));
        return request;
    }

    /** Places a stream whose prompt has been read. */
    private EngineRequest run(long gapTargetMillis, LiveServer decode) {
        EngineRequest request = place(100, gapTargetMillis, decode);
        begin(request, decode);
        return request;
    }

    private void begin(EngineRequest request, LiveServer decode) {
        long tokens = request.tokens().promptTokens();
        mLoads.remove(new ServerLoad(decode.id(), 0, 0, tokens));
        mPlanner.pauses().begin(request.request(), SECOND);
    }

    @Example
    void anIdleDecodeEngineReadsALongPromptItself() {
        EngineRequest longPrompt = request(9_000, GAP_TARGET_MILLIS);
        assertThat(plan(longPrompt, mDecode, mPrefill).prefill()).isEmpty();
    }

    @Example
    void aLongPromptIsReadApartWhereAStreamRunsAndAShortOneIsNot() {
        run(GAP_TARGET_MILLIS, mDecode);
        EngineRequest longPrompt = request(9_000, GAP_TARGET_MILLIS);
        assertThat(plan(longPrompt, mDecode, mPrefill).prefill()).contains(mPrefill);
        EngineRequest shortPrompt = request(3_000, GAP_TARGET_MILLIS);
        assertThat(plan(shortPrompt, mDecode, mPrefill).prefill()).isEmpty();
    }

    @Example
    void theTargetOfTheRunningStreamCountsAndNotThatOfTheNewOne() {
        run(2_000, mDecode);
        assertThat(plan(request(9_000, 1_900), mDecode, mPrefill).prefill()).isEmpty();
        run(GAP_TARGET_MILLIS, mDecode);
        assertThat(plan(request(9_000, 1_900), mDecode, mPrefill).prefill()).contains(mPrefill);
    }

    @Example
    void promptsThatWaitAtTheEngineAddUp() {
        run(GAP_TARGET_MILLIS, mDecode);
        place(4_000, GAP_TARGET_MILLIS, mDecode);
        EngineRequest shortPrompt = request(4_000, GAP_TARGET_MILLIS);
        assertThat(plan(shortPrompt, mDecode, mPrefill).prefill()).contains(mPrefill);
    }

    @Example
    void withoutAPrefillEngineTheDecodeEngineReadsThatMakesTheFewestStreamsLate() {
        run(GAP_TARGET_MILLIS, mDecode);
        run(GAP_TARGET_MILLIS, mDecode);
        run(GAP_TARGET_MILLIS, mOtherDecode);
        mLoads.add(new ServerLoad(mOtherDecode.id(), 0, 20_000, 0));
        EngineRequest longPrompt = request(9_000, GAP_TARGET_MILLIS);
        assertThat(plan(longPrompt, mDecode, mOtherDecode).decode()).isEqualTo(mOtherDecode);
    }

    @Example
    void aStreamThatIsLateAlreadyDoesNotKeepPromptsAway() {
        run(GAP_TARGET_MILLIS, mDecode);
        begin(place(9_000, 0, mDecode), mDecode);
        EngineRequest longPrompt = request(9_000, GAP_TARGET_MILLIS);
        assertThat(plan(longPrompt, mDecode, mPrefill).prefill()).isEmpty();
    }

    /** Without what this host has granted itself, others' streams count as like the new one. */
    @Example
    void streamsThatOtherHostsRunCountAsLikeTheNewOne() {
        mLoads.replaceRemoteLoads(List.of(new ServerLoad(mDecode.id(), 1, 100, 0)));
        EngineRequest longPrompt = request(9_000, GAP_TARGET_MILLIS);
        assertThat(plan(longPrompt, mDecode, mPrefill).prefill()).contains(mPrefill);
    }

    /** Hosts of the build before state no gap target for their requests. */
    @Example
    void aRequestWithoutAGapTargetMakesNoOtherStreamLate() {
        run(GAP_TARGET_MILLIS, mDecode);
        assertThat(plan(request(9_000, 0), mDecode, mPrefill).prefill()).contains(mPrefill);
    }

    @Example
    void besideStreamsWithoutGapTargetsTheFormerRuleHolds() {
        run(0, mDecode);
        assertThat(plan(request(9_000, 0), mDecode, mPrefill).prefill()).isEmpty();
    }

    @Example
    void withoutDeclaredTokensOfAnEventTheFormerRuleHolds() {
        run(GAP_TARGET_MILLIS, mDecode);
        EngineCapacity capacity = new EngineCapacity(64, 100_000, 500);
        EngineRequest longPrompt = request(9_000, GAP_TARGET_MILLIS);
        List<LiveServer> engines = List.of(mDecode, mPrefill);
        assertThat(mPlanner.plan(engines, longPrompt, capacity, SECOND).orElseThrow().prefill())
                .isEmpty();
    }

    /** Chunks of which an event has seven make pauses of 130 ms, however long the prompt is. */
    @Example
    void pausesThatAreMeasuredToBeShortLetLongPromptsBeReadBesideStreams() {
        for (int i = 0; i < 30; i++) {
            EngineRequest stream = run(GAP_TARGET_MILLIS, mDecode);
            EngineRequest reading = place(14_000, 0, mDecode);
            begin(reading, mDecode);
            StreamPace pace = new StreamPace(40 * MILLI, 170 * MILLI);
            mPlanner.observePace(stream, pace, 4 * SECOND);
            for (EngineRequest ended : List.of(stream, reading)) {
                mPlanner.pauses().remove(ended.request());
                long tokens = ended.tokens().promptTokens();
                mLoads.remove(new ServerLoad(mDecode.id(), 1, tokens, 0));
            }
        }
        run(GAP_TARGET_MILLIS, mDecode);
        EngineRequest longPrompt = request(12_000, GAP_TARGET_MILLIS);
        assertThat(plan(longPrompt, mDecode, mPrefill).prefill()).isEmpty();
    }

    /** An event may have waited for a part of the chunks only, if the prompt was not long. */
    @Example
    void pausesOfPromptsThatAreSoonReadDoNotTellHowLongPausesBecome() {
        EngineRequest stream = run(GAP_TARGET_MILLIS, mDecode);
        begin(place(6_000, 0, mDecode), mDecode);
        mPlanner.observePace(stream, new StreamPace(40 * MILLI, 170 * MILLI), 4 * SECOND);
        run(GAP_TARGET_MILLIS, mDecode);
        EngineRequest longPrompt = request(9_000, GAP_TARGET_MILLIS);
        assertThat(plan(longPrompt, mDecode, mPrefill).prefill()).contains(mPrefill);
    }

    /** The stream would begin before the other prompt has been read, and make a pause. */
    @Example
    void aStreamAvoidsADecodeEngineThatStillReadsALongPromptWhenItBegins() {
        place(20_000, 0, mDecode);
        mLoads.add(new ServerLoad(mOtherDecode.id(), 1, 45_000, 0));
        EngineRequest request = request(2_000, GAP_TARGET_MILLIS);
        assertThat(plan(request, mDecode, mOtherDecode, mPrefill).decode()).isEqualTo(mOtherDecode);
    }

    @Example
    void aPromptIsReadInTheFailureDomainOfItsDecodeEngineUnlessPromptsWaitThere() {
        run(GAP_TARGET_MILLIS, mDecode);
        EngineRequest longPrompt = request(9_000, GAP_TARGET_MILLIS);
        assertThat(plan(longPrompt, mDecode, mFarPrefill, mPrefill).prefill()).contains(mPrefill);
        mLoads.add(new ServerLoad(mPrefill.id(), 1, 30_000, 30_000));
        assertThat(plan(longPrompt, mDecode, mFarPrefill, mPrefill).prefill())
                .contains(mFarPrefill);
    }

    @Example
    void aPromptThatNoEngineCanReadBeforeItsCallerLeavesIsToldApart() {
        EngineRequest readable = request(SPEED_TOKENS_PER_MILLI * 900, GAP_TARGET_MILLIS);
        assertThat(mPlanner.isTooLong(readable, 0)).isFalse();
        EngineRequest unreadable = request(SPEED_TOKENS_PER_MILLI * 1_100, GAP_TARGET_MILLIS);
        assertThat(mPlanner.isTooLong(unreadable, 0)).isTrue();
    }
}
