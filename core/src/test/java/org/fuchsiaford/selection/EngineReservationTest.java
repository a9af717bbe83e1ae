package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.TokenCounts;

/** The load that one request adds to an engine and removes again. */
class EngineReservationTest {
    private static final LiveServer ENGINE = TestServers.engine("e", EngineStage.DECODE);
    private static final LiveServer PREFILL = TestServers.engine("p", EngineStage.PREFILL);
    private static final TokenCounts SIZE = new TokenCounts(4_000, 1_000, 1_000);

    private final LoadTracker mLoads = new LoadTracker();

    private EngineReservation reservation(Optional<LiveServer> prefill) {
        return new EngineReservation(mLoads, new EnginePlan(ENGINE, prefill), SIZE);
    }

    private long unreadTokens() {
        return mLoads.total(ENGINE.id()).unreadTokens();
    }

    /**
     * After the prefill engine has failed, the decode engine prefills the prompts that were planned
     * for it.
     */
    @Example
    void aPromptThatNoPrefillEngineHasPrefilledAddsToTheBacklogOfTheDecodeEngine() {
        EngineReservation reservation = reservation(Optional.of(PREFILL));
        assertThat(unreadTokens()).isZero();
        assertThat(mLoads.total(PREFILL.id()).unreadTokens()).isEqualTo(SIZE.promptTokens());
        reservation.leavePromptToDecode();
        reservation.leavePromptToDecode();
        assertThat(unreadTokens()).isEqualTo(SIZE.promptTokens());
        assertThat(mLoads.total(PREFILL.id()).requests()).isZero();
        reservation.endPrefillBacklog();
        assertThat(unreadTokens()).isZero();
        reservation.release();
        reservation.leavePromptToDecode();
        assertThat(mLoads.localLoads()).isEmpty();
    }

    @Example
    void releaseRemovesTheLoadOnlyOnce() {
        EngineReservation reservation = reservation(Optional.empty());
        assertThat(unreadTokens()).isEqualTo(SIZE.promptTokens());
        reservation.release();
        reservation.release();
        assertThat(mLoads.localLoads()).isEmpty();
    }
}
