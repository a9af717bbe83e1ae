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

/** What one request adds to the load of an engine, and takes away again. */
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

    /** The prefill engine has died, so every prompt that was planned for it is read here. */
    @Example
    void aPromptThatNoOtherEngineHasReadCountsAsUnreadHere() {
        Reservation room = Reservation.decode(mLoads, ENGINE, SIZE, false);
        assertThat(unreadTokens()).isZero();
        room.markUnread(SIZE.promptTokens());
        room.markUnread(SIZE.promptTokens());
        assertThat(unreadTokens()).isEqualTo(SIZE.promptTokens());
        room.markRead();
        assertThat(unreadTokens()).isZero();
        room.release();
        room.markUnread(SIZE.promptTokens());
        assertThat(mLoads.localLoads()).isEmpty();
    }

    @Example
    void whatIsHeldIsTakenAwayOnce() {
        Reservation room = Reservation.decode(mLoads, ENGINE, SIZE, true);
        assertThat(unreadTokens()).isEqualTo(SIZE.promptTokens());
        room.release();
        room.release();
        assertThat(mLoads.localLoads()).isEmpty();
    }
}
