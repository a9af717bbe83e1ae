package org.fuchsiaford.hostmemory;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;

/** Guards against many large bodies at a server that reads slowly. */
class ServerByteLimitTest {
    private static final BackendServerId SERVER = new BackendServerId("a1");
    private static final BackendServerId OTHER = new BackendServerId("a2");

    private final ServerByteLimit mLimit = new ServerByteLimit(100);

    @Example
    void bodiesAtOneServerAreBoundedAndReturned() {
        assertThat(mLimit.tryBegin(SERVER, 60)).isTrue();
        assertThat(mLimit.tryBegin(SERVER, 41)).isFalse();
        assertThat(mLimit.tryBegin(OTHER, 41)).isTrue();
        mLimit.end(SERVER, 60);
        assertThat(mLimit.bytes(SERVER)).isZero();
        assertThat(mLimit.tryBegin(SERVER, 41)).isTrue();
    }

    /** Guards against a body above the limit that no server is ever sent. */
    @Example
    void aSingleBodyAboveTheLimitIsSent() {
        assertThat(mLimit.tryBegin(SERVER, 101)).isTrue();
        assertThat(mLimit.tryBegin(SERVER, 1)).isFalse();
    }
}
