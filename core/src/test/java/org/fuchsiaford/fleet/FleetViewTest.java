package org.fuchsiaford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;

/** Which hosts are present, reachable, and returned to callers. */
class FleetViewTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final FailureDomainId HERE = new FailureDomainId("here");
    private static final FailureDomainId THERE = new FailureDomainId("there");

    private final FleetView mFleet = new FleetView(host("self", HERE, 1));

    private static HostRecord host(String id, FailureDomainId domain, int number) {
        return new HostRecord(
                new HostId(id), domain, "10.0.0." + number + ":80", "10.0.0." + number + ":90", 1);
    }

    private static HostHeartbeat heartbeat(HostRecord host, boolean accepting) {
        return TestHeartbeats.idle(host, 0, accepting);
    }

    @Example
    void callersAreSentToTheirOwnDomainIfItHasEnoughHosts() {
        mFleet.recordHeartbeat(heartbeat(host("b", THERE, 2), true), 0);
        assertThat(mFleet.callerAddresses(HERE, true, 0))
                .containsExactly("10.0.0.1:80", "10.0.0.2:80");
        mFleet.recordHeartbeat(heartbeat(host("c", HERE, 3), true), 0);
        assertThat(mFleet.callerAddresses(HERE, true, 0))
                .containsExactly("10.0.0.1:80", "10.0.0.3:80");
    }

    @Example
    void noCallerIsSentToALeavingUnreachableOrStoppedHost() {
        mFleet.recordHeartbeat(heartbeat(host("b", THERE, 2), false), 0);
        mFleet.recordHeartbeat(heartbeat(host("c", THERE, 3), true), 0);
        mFleet.recordHeartbeat(heartbeat(host("d", THERE, 4), true), SECOND);
        mFleet.markStopped(new HostId("d"));
        assertThat(mFleet.callerAddresses(HERE, true, 2 * SECOND)).containsExactly("10.0.0.1:80");
        assertThat(mFleet.callerAddresses(HERE, false, 2 * SECOND)).isEmpty();
    }

    @Example
    void aRegisteredHostWithoutHeartbeatsIsPresentButNotReachable() {
        mFleet.register(host("b", THERE, 2));
        assertThat(mFleet.presentCount(0)).isEqualTo(2);
        assertThat(mFleet.reachableCount(0)).isEqualTo(1);
        mFleet.recordHeartbeat(heartbeat(host("b", THERE, 2), true), 0);
        assertThat(mFleet.reachableCount(0)).isEqualTo(2);
        assertThat(mFleet.reachableCount(2 * SECOND)).isEqualTo(1);
    }

    @Example
    void aNewProcessAtAnAddressReplacesTheOldOne() {
        mFleet.register(host("b", THERE, 2));
        mFleet.recordHeartbeat(heartbeat(host("b2", THERE, 2), true), 0);
        assertThat(mFleet.presentCount(0)).isEqualTo(2);
        assertThat(mFleet.others()).extracting(HostRecord::id).containsExactly(new HostId("b2"));
    }

    @Example
    void aCoordinatorThatRespondsIsKeptWithoutRegistration() {
        mFleet.register(host("b", THERE, 2));
        mFleet.recordContact(host("b", THERE, 2), 0);
        mFleet.unregister(new HostId("b"));
        assertThat(mFleet.removeExpired(SECOND)).isEmpty();
        assertThat(mFleet.removeExpired(2 * SECOND)).containsExactly(new HostId("b"));
    }

    @Example
    void aHostIsNamedToCallersIfACoordinatorHearsFromIt() {
        mFleet.register(host("b", HERE, 2));
        mFleet.register(host("c", HERE, 3));
        FleetSummary summary =
                new FleetSummary(
                        host("c", HERE, 3),
                        0,
                        List.of(new HostId("b")),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        0,
                        List.of());
        mFleet.recordSummary(summary, 0);
        assertThat(mFleet.callerAddresses(HERE, false, SECOND)).containsExactly("10.0.0.2:80");
        assertThat(mFleet.callerAddresses(HERE, false, 2 * SECOND)).isEmpty();
    }

    @Example
    void aHostThatIsNeitherRegisteredNorReachableIsRemoved() {
        mFleet.recordHeartbeat(heartbeat(host("b", THERE, 2), true), 0);
        assertThat(mFleet.removeExpired(SECOND)).isEmpty();
        assertThat(mFleet.removeExpired(2 * SECOND)).containsExactly(new HostId("b"));
        assertThat(mFleet.others()).isEmpty();
    }
}
