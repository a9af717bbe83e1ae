package org.fuchsiaford.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;

/** The latest streams of servers, on a clock of the test. */
class ServerStreamsTest {
    private static final BackendServerId SERVER = new BackendServerId("e1");
    private static final StreamKey EARLY = new StreamKey("k1");
    private static final StreamKey LATE = new StreamKey("k2");

    private final ServerStreams mStreams = new ServerStreams();

    @Example
    void onlyStreamsOfTheServerThatBeganSinceTheTimeAreReturned() {
        mStreams.record(EARLY, SERVER, 1);
        mStreams.record(LATE, SERVER, 3);
        mStreams.record(new StreamKey("k3"), new BackendServerId("e2"), 3);
        assertThat(mStreams.begunSince(SERVER, 1)).containsExactly(EARLY, LATE);
        assertThat(mStreams.begunSince(SERVER, 2)).containsExactly(LATE);
        assertThat(mStreams.begunSince(SERVER, 4)).isEmpty();
    }

    /** While the store is away, a registration may be out of date for longer than usual. */
    @Example
    void streamsAreKeptForAsLongAsTheyCanBeTakenUp() {
        long minuteNanos = TimeUnit.SECONDS.toNanos(60);
        mStreams.record(EARLY, SERVER, 0);
        mStreams.record(LATE, SERVER, minuteNanos);
        assertThat(mStreams.begunSince(SERVER, 0)).containsExactly(EARLY, LATE);
        mStreams.record(LATE, SERVER, minuteNanos + 1);
        assertThat(mStreams.begunSince(SERVER, 0)).doesNotContain(EARLY);
    }
}
