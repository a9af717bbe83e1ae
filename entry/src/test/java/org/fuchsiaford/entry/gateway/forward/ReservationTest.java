package org.fuchsiaford.entry.gateway.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.selection.LoadTracker;

/** The load that one request adds to an engine and removes again. */
class ReservationTest {
    private static final LiveServer ENGINE =
            new LiveServer(
                    new BackendServerId("e"),
                    new ServiceId("llm"),
                    new ServerAddress("127.0.0.1", 1),
                    new FailureDomainId("z"),
                    8,
                    Optional.of(EngineStage.DECODE),
                    false,
                    1);
    private static final TokenCounts SIZE = new TokenCounts(4_000, 1_000, 1_000);

    private final LoadTracker mLoads = new LoadTracker();

    private long unreadTokens() {
        return mLoads.total(ENGINE.id()).unreadTokens();
    }

    /**
     * After the prefill engine has failed, the decode engine prefills the prompts that were planned
     * for it.
     */
    @Example
    void aPromptThatNoPrefillEngineHasPrefilledAddsToTheBacklogOfTheDecodeEngine() {
        Reservation reservation = Reservation.decode(mLoads, ENGINE, SIZE, false);
        assertThat(unreadTokens()).isZero();
        reservation.addPrefillBacklog(SIZE.promptTokens());
        reservation.addPrefillBacklog(SIZE.promptTokens());
        assertThat(unreadTokens()).isEqualTo(SIZE.promptTokens());
        reservation.removePrefillBacklog();
        assertThat(unreadTokens()).isZero();
        reservation.release();
        reservation.addPrefillBacklog(SIZE.promptTokens());
        assertThat(mLoads.localLoads()).isEmpty();
    }

    @Example
    void releaseRemovesTheLoadOnlyOnce() {
        Reservation reservation = Reservation.decode(mLoads, ENGINE, SIZE, true);
        assertThat(unreadTokens()).isEqualTo(SIZE.promptTokens());
        reservation.release();
        reservation.release();
        assertThat(mLoads.localLoads()).isEmpty();
    }
}
