package org.fuchsiaford.entry.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.entry.member.ServingView;
import org.fuchsiaford.host.SlotId;

/**
 * Tests the safety of serving leases under random interleavings of kills, restarts, network
 * partitions, store outages, lost, late and duplicated messages, and clocks at different rates: no
 * slot has two acting holders, and no host acts on a generation older than the accepted one.
 */
class FleetSafetyTest {
    private static final int SIZE = 6;
    private static final int STEPS = 300;
    private static final int STEP_MILLIS = 50;
    private static final int RECOVERY_MILLIS = 40_000;

    @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void neverTwoHoldersAndNeverAnOldBundle(@ForAll long seed) {
        Random random = new Random(seed);
        try (FakeFleet fleet = new FakeFleet(seed, SIZE, 2)) {
            assertThat(fleet.rollOut(fleet.bundle(1, List.of("key-1")))).isTrue();
            fleet.startAll();
            fleet.advance(3_000);
            long version = 1;
            for (int step = 0; step < STEPS; step++) {
                injectFault(fleet, random);
                if (random.nextInt(40) == 0) {
                    version++;
                    fleet.rollOut(fleet.bundle(version, List.of("key-" + version)));
                }
                fleet.advance(STEP_MILLIS);
                checkSafety(fleet, seed);
            }
            recover(fleet);
            checkSafety(fleet, seed);
            checkRecovered(fleet, seed);
        }
    }

    private static void injectFault(FakeFleet fleet, Random random) {
        String address = fleet.addresses().get(random.nextInt(SIZE));
        String other = fleet.addresses().get(random.nextInt(SIZE));
        switch (random.nextInt(30)) {
            case 0 -> fleet.kill(address);
            case 1, 2 -> {
                if (!fleet.hosts().containsKey(address)) {
                    fleet.start(address);
                }
            }
            case 3 -> fleet.network().cut(address, other);
            case 4 -> fleet.network().cut(address, FakeNetwork.STORE);
            case 5, 6 -> fleet.network().healPartitions();
            case 7 -> fleet.setStoreOutage(true);
            case 8, 9 -> fleet.setStoreOutage(false);
            case 10 -> fleet.network().setFaultRate(random.nextDouble() * 0.3);
            case 11 -> fleet.network().setFaultRate(0);
            case 12 -> fleet.addresses().forEach(a -> fleet.network().cut(address, a));
            default -> {}
        }
    }

    private static void recover(FakeFleet fleet) {
        fleet.network().healPartitions();
        fleet.network().setFaultRate(0);
        fleet.setStoreOutage(false);
        fleet.addresses().stream()
                .filter(address -> !fleet.hosts().containsKey(address))
                .forEach(fleet::start);
        for (int millis = 0; millis < RECOVERY_MILLIS; millis += 500) {
            fleet.advance(500);
        }
    }

    private static void checkSafety(FakeFleet fleet, long seed) {
        IntStream.range(0, SIZE)
                .mapToObj(i -> new SlotId("s" + i))
                .forEach(
                        slot ->
                                assertThat(fleet.servingHolders(slot))
                                        .as("holders of %s, seed %d", slot, seed)
                                        .hasSizeLessThanOrEqualTo(1));
        fleet.storedHead()
                .filter(head -> head.accepted())
                .ifPresent(head -> checkNoHostOnOlderGeneration(fleet, head.generation(), seed));
    }

    private static void checkNoHostOnOlderGeneration(
            FakeFleet fleet, Generation accepted, long seed) {
        fleet.hosts()
                .values()
                .forEach(
                        host ->
                                host.membership()
                                        .servingView()
                                        .map(ServingView::head)
                                        .ifPresent(
                                                head ->
                                                        assertThat(head.generation())
                                                                .as("seed %d", seed)
                                                                .isGreaterThanOrEqualTo(accepted)));
    }

    private static void checkRecovered(FakeFleet fleet, long seed) {
        assertThat(fleet.storedHead().orElseThrow().accepted()).as("seed %d", seed).isTrue();
        fleet.hosts()
                .forEach(
                        (address, host) ->
                                assertThat(host.membership().servingSlot())
                                        .as("%s, seed %d: %s", address, seed, fleet.describe())
                                        .isPresent());
    }
}
