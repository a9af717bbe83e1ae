package org.fuchsiaford.hostmemory;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against connections without requests that keep callers with requests out. */
class ConnectionLimitTest {
    private final ConnectionLimit<String> mLimit = new ConnectionLimit<>(2);

    @Example
    void theLongestIdleConnectionIsClosedFirst() {
        assertThat(mLimit.add("a")).isEmpty();
        assertThat(mLimit.add("b")).isEmpty();
        mLimit.setIdle("a", false);
        mLimit.setIdle("a", true);
        assertThat(mLimit.add("c")).contains("b");
        assertThat(mLimit.openConnections()).isEqualTo(2);
    }

    @Example
    void connectionsWithRequestsStayAndTheNewOneIsClosed() {
        mLimit.add("a");
        mLimit.add("b");
        mLimit.setIdle("a", false);
        mLimit.setIdle("b", false);
        assertThat(mLimit.add("c")).contains("c");
        mLimit.remove("a");
        assertThat(mLimit.add("d")).isEmpty();
        assertThat(mLimit.closedConnections()).isEqualTo(1);
    }
}
