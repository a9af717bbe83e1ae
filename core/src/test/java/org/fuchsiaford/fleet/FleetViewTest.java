package org.fuchsiaford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.RegionMap;

/** Which hosts are present, reachable, and returned to callers. */
class FleetViewTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final FailureDomainId HERE = new FailureDomainId("here");
    private static final FailureDomainId THERE = new FailureDomainId("there");
    private static final RegionId ONE = new RegionId("r1");
    private static final RegionId TWO = new RegionId("r2");

    private final FleetView mFleet = new FleetView(host("self", HERE, 1));

    private static HostRecord host(String id, FailureDomainId domain, int number) {
        return new HostRecord(
                new HostId(id), domain, "10.0.0." + number + ":80", "10.0.0." + number + ":90", 1);
    }

    private static HostHeartbeat heartbeat(HostRecord host, boolean accepting) {
        return TestHeartbeats.idle(host, 0, accepting);
    }

    /** Returns the addresses for callers that state no region, where no region is known. */
    private List<String> addresses(FailureDomainId domain, boolean accepting, long nowNanos) {
        return mFleet.callerAddresses(
                domain, Optional.empty(), RegionMap.NONE, accepting, nowNanos);
    }

    private static FleetSummary summary(HostRecord coordinator, String available) {
        return new FleetSummary(
                coordinator,
                0,
                List.of(new HostId(available)),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of());
    }

    /** Guards against callers whose requests may only be served in their region. */
    @Example
    void callersAreSentToTheirRegionWhileItHasAnyHost() {
        RegionMap regions =
                new RegionMap(Map.of(HERE, ONE, new FailureDomainId("near"), ONE, THERE, TWO));
        mFleet.recordHeartbeat(heartbeat(host("b", new FailureDomainId("near"), 2), true), 0);
        mFleet.recordHeartbeat(heartbeat(host("c", THERE, 3), true), 0);
        mFleet.recordHeartbeat(heartbeat(host("d", new FailureDomainId("odd"), 4), true), 0);
        FailureDomainId near = new FailureDomainId("near");
        FailureDomainId unknown = new FailureDomainId("-");
        assertThat(mFleet.callerAddresses(near, Optional.of(ONE), regions, true, 0))
                .containsExactly("10.0.0.2:80", "10.0.0.1:80");
        assertThat(mFleet.callerAddresses(near, Optional.empty(), regions, true, 0))
                .containsExactly("10.0.0.2:80", "10.0.0.1:80");
        assertThat(mFleet.callerAddresses(unknown, Optional.of(TWO), regions, true, 0))
                .containsExactly("10.0.0.3:80");
        assertThat(mFleet.callerAddresses(near, Optional.of(TWO), regions, true, 0))
                .containsExactly("10.0.0.3:80");
        RegionId none = new RegionId("r3");
        assertThat(mFleet.callerAddresses(unknown, Optional.of(none), regions, true, 0)).hasSize(4);
    }

    /** Guards against naming a host that ended while this process was suspended. */
    @Example
    void whatWaitedForASuspendedProcessNamesNoHost() {
        HostRecord other = host("b", HERE, 2);
        HostRecord coordinator = host("c", HERE, 3);
        mFleet.register(coordinator);
        mFleet.recordHeartbeat(heartbeat(other, true), 0);
        long resumedNanos = 20 * SECOND;
        mFleet.recordSummary(summary(coordinator, "b"), SECOND / 2);
        mFleet.recordHeartbeat(heartbeat(other, true), resumedNanos);
        mFleet.removeExpired(resumedNanos);
        assertThat(mFleet.isReachable(other.id(), resumedNanos)).isTrue();
        assertThat(addresses(HERE, true, resumedNanos)).containsExactly("10.0.0.1:80");
        assertThat(mFleet.availableHosts(true, resumedNanos)).containsExactly(new HostId("self"));

        mFleet.recordHeartbeat(heartbeat(other, true), resumedNanos + SECOND);
        assertThat(addresses(HERE, true, resumedNanos + SECOND))
                .containsExactly("10.0.0.1:80", "10.0.0.2:80");
    }

    @Example
    void callersAreSentToTheirOwnDomainIfItHasEnoughHosts() {
        mFleet.recordHeartbeat(heartbeat(host("b", THERE, 2), true), 0);
        assertThat(addresses(HERE, true, 0)).containsExactly("10.0.0.1:80", "10.0.0.2:80");
        mFleet.recordHeartbeat(heartbeat(host("c", HERE, 3), true), 0);
        assertThat(addresses(HERE, true, 0)).containsExactly("10.0.0.1:80", "10.0.0.3:80");
    }

    @Example
    void noCallerIsSentToALeavingUnreachableOrStoppedHost() {
        mFleet.recordHeartbeat(heartbeat(host("b", THERE, 2), false), 0);
        mFleet.recordHeartbeat(heartbeat(host("c", THERE, 3), true), 0);
        mFleet.recordHeartbeat(heartbeat(host("d", THERE, 4), true), SECOND);
        mFleet.markStopped(new HostId("d"));
        assertThat(addresses(HERE, true, 2 * SECOND)).containsExactly("10.0.0.1:80");
        assertThat(addresses(HERE, false, 2 * SECOND)).isEmpty();
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
        mFleet.recordSummary(summary(host("c", HERE, 3), "b"), 0);
        assertThat(addresses(HERE, false, SECOND)).containsExactly("10.0.0.2:80");
        assertThat(addresses(HERE, false, 2 * SECOND)).isEmpty();
    }

    @Example
    void aHostThatIsNeitherRegisteredNorReachableIsRemoved() {
        mFleet.recordHeartbeat(heartbeat(host("b", THERE, 2), true), 0);
        assertThat(mFleet.removeExpired(SECOND)).isEmpty();
        assertThat(mFleet.removeExpired(2 * SECOND)).containsExactly(new HostId("b"));
        assertThat(mFleet.others()).isEmpty();
    }
}
