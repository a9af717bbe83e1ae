package org.fuchsiaford.fleet;

import java.util.List;

/** Heartbeats of hosts that have nothing to report. */
public final class TestHeartbeats {
    private TestHeartbeats() {}

    /** Creates the heartbeat of an idle host. */
    public static HostHeartbeat idle(HostRecord host, long ageMillis, boolean accepting) {
        return new HostHeartbeat(
                host, ageMillis, accepting, 0, List.of(), List.of(), List.of(), List.of(),
                List.of(), List.of(), List.of(), List.of(), List.of(), 0, List.of());
    }
}
