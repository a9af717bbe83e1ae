package org.fuchsiaford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;

/** Fleets of up to 1,000 hosts in virtual time, whose hosts and coordinators die and pause. */
class CoordinatorTrackerTest {
    /** Three heartbeats to the coordinators, the probe of a failing host among them. */
    private static final double MAX_MESSAGES_PER_HOST_AND_SECOND = 7;

    /** A dead host must be out of the answers to callers in about two seconds. */
    private static final double DETECTION_SECONDS = 2.5;

    @Provide
    Arbitrary<Integer> fleets() {
        return Arbitraries.of(6, 9, 95, 390);
    }

    private static FleetSimulation started(int hosts, Random random) {
        FleetSimulation fleet = new FleetSimulation(hosts, random);
        fleet.run(4);
        return fleet;
    }

    private static void assertAgreement(FleetSimulation fleet) {
        List<Optional<HostId>> primaries = fleet.primaries().stream().distinct().toList();
        assertThat(primaries).hasSize(1);
        assertThat(primaries.get(0)).isPresent();
    }

    @Property(tries = 12, seed = "31")
    void allHostsAgreeAndAskTheSameCoordinator(@ForAll("fleets") int hosts, @ForAll Random random) {
        assertAgreement(started(hosts, random));
    }

    @Property(tries = 20, seed = "32")
    void aDeadHostIsSoonNamedByNobodyAndAnotherCoordinatorFollows(
            @ForAll("fleets") int hosts, @ForAll Random random) {
        FleetSimulation fleet = started(hosts, random);
        int killed = random.nextBoolean() ? random.nextInt(hosts) : fleet.coordinators(1).get(0);
        fleet.kill(killed);
        fleet.run(DETECTION_SECONDS);
        assertThat(fleet.namedBy(killed)).isZero();
        fleet.run(2);
        assertAgreement(fleet);
    }

    @Property(tries = 8, seed = "33")
    void allCoordinatorsMayDieAtOnce(@ForAll("fleets") int hosts, @ForAll Random random) {
        FleetSimulation fleet = started(hosts, random);
        fleet.coordinators(0).forEach(fleet::kill);
        fleet.run(DETECTION_SECONDS);
        assertThat(fleet.primaries()).allMatch(Optional::isPresent);
        fleet.run(2);
        assertAgreement(fleet);
    }

    @Property(tries = 8, seed = "34")
    void aPausedHostIsNamedAgainAndNoOtherIsDropped(
            @ForAll("fleets") int hosts, @ForAll Random random) {
        FleetSimulation fleet = started(hosts, random);
        int paused = random.nextInt(hosts);
        fleet.pause(paused);
        fleet.run(1);
        fleet.resume(paused);
        fleet.run(DETECTION_SECONDS);
        for (int host = 0; host < Math.min(hosts, 20); host++) {
            assertThat(fleet.namedBy(host)).isEqualTo(hosts - 1);
        }
    }

    @Property(tries = 8, seed = "35")
    void lostExchangesTakeNoHostOutForLong(@ForAll("fleets") int hosts, @ForAll Random random) {
        FleetSimulation fleet = started(hosts, random);
        fleet.setLoss(0.05);
        fleet.run(10);
        fleet.setLoss(0);
        fleet.run(4);
        assertAgreement(fleet);
        for (int host = 0; host < Math.min(hosts, 20); host++) {
            assertThat(fleet.namedBy(host)).isEqualTo(hosts - 1);
        }
    }

    /** Nobody reports to a host that is no coordinator, however long it has been running. */
    @Example
    void aHostThatBecomesACoordinatorDoesNotAskItselfAtOnce() {
        List<HostRecord> ranked =
                CoordinatorRanking.choose(
                        IntStream.range(0, 4).mapToObj(i -> host("h" + i)).toList());
        HostRecord self =
                IntStream.range(0, 4)
                        .mapToObj(i -> host("h" + i))
                        .filter(host -> !ranked.contains(host))
                        .findFirst()
                        .orElseThrow();
        FleetView view = new FleetView(self);
        CoordinatorTracker tracker = new CoordinatorTracker(view, 0);
        ranked.forEach(view::register);
        long nowNanos = CoordinatorTracker.SETTLE_NANOS;
        ranked.forEach(host -> tracker.recordSuccess(host.id(), nowNanos - 1));
        assertThat(tracker.primary(nowNanos)).contains(ranked.get(0));

        tracker.recordFailure(ranked.get(0).id(), nowNanos + 1);

        assertThat(tracker.primary(nowNanos + 1)).contains(ranked.get(1));
        assertThat(tracker.primary(nowNanos + CoordinatorTracker.SETTLE_NANOS)).isPresent();
    }

    private static HostRecord host(String id) {
        return new HostRecord(new HostId(id), new FailureDomainId("d"), id, id, 1);
    }

    @Example
    void theMessagesOfAHostDoNotDependOnTheNumberOfHosts() {
        for (int hosts : new int[] {9, 95, 390, 1_000}) {
            FleetSimulation fleet = started(hosts, new Random(1));
            fleet.pollMessages();
            fleet.run(4);
            assertThat(fleet.pollMessages() / 4.0 / hosts)
                    .as("%d hosts", hosts)
                    .isLessThanOrEqualTo(MAX_MESSAGES_PER_HOST_AND_SECOND);
        }
    }
}
