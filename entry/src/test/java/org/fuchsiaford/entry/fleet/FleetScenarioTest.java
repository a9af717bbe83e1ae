package org.fuchsiaford.entry.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.entry.member.HeldSlot;
import org.fuchsiaford.entry.member.ServingView;
import org.fuchsiaford.host.GrantorSet;
import org.fuchsiaford.host.GrantorTable;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.KeyHash;

/** Tests bundles, slots and leases under individual faults, in virtual time. */
class FleetScenarioTest {
    private static final int SIZE = 6;
    private static final long SEED = 7;
    private static final int SETTLE_MILLIS = 6_000;
    private static final int TICK_MILLIS = 50;

    /** The stated bound from the swap of a bundle until a key that it withdraws stops working. */
    private static final int WITHDRAWAL_MILLIS = 3_000;

    private static FakeFleet running(int size) {
        FakeFleet fleet = new FakeFleet(SEED, size, 2);
        assertThat(fleet.rollOut(fleet.bundle(1, List.of("old-key")))).isTrue();
        fleet.startAll();
        fleet.advance(SETTLE_MILLIS);
        assertThat(servingCount(fleet)).isEqualTo(size);
        assertThat(fleet.storedHead().map(BundleHead::accepted)).contains(true);
        return fleet;
    }

    private static long servingCount(FakeFleet fleet) {
        return fleet.hosts().values().stream().filter(h -> h.membership().isServing()).count();
    }

    private static boolean accepts(FakeHost host, String key) {
        return host.membership()
                .servingView()
                .flatMap(view -> view.index().workspaceOfKey(KeyHash.of(key)))
                .isPresent();
    }

    private static boolean anyAccepts(FakeFleet fleet, String key) {
        return fleet.hosts().values().stream().anyMatch(host -> accepts(host, key));
    }

    @Example
    void withdrawnKeyStopsEverywhereWithinBound() {
        try (FakeFleet fleet = running(SIZE)) {
            assertThat(fleet.rollOut(fleet.bundle(2, List.of("new-key")))).isTrue();
            fleet.advance(WITHDRAWAL_MILLIS);
            assertThat(anyAccepts(fleet, "old-key")).isFalse();
            assertThat(fleet.hosts().values()).allMatch(host -> accepts(host, "new-key"));
        }
    }

    @Example
    void hostThatReachesOnlyItsGrantorsDoesNotKeepWithdrawnKey() {
        try (FakeFleet fleet = running(SIZE)) {
            String address = fleet.addresses().get(0);
            FakeHost host = fleet.hosts().get(address);
            isolateFromAllButGrantors(fleet, address, host);
            fleet.advance(SETTLE_MILLIS);
            assertThat(accepts(host, "old-key"))
                    .as("leases of its grantors keep it serving")
                    .isTrue();
            assertThat(fleet.rollOut(fleet.bundle(2, List.of("new-key")))).isTrue();
            fleet.advance(WITHDRAWAL_MILLIS);
            assertThat(accepts(host, "old-key")).isFalse();
            fleet.advance(SETTLE_MILLIS);
            assertThat(accepts(host, "old-key")).isFalse();
        }
    }

    private static void isolateFromAllButGrantors(FakeFleet fleet, String address, FakeHost host) {
        Bundle bundle = host.membership().newestView().orElseThrow().index().bundle();
        SlotId slot = host.membership().heldSlot().map(HeldSlot::slot).orElseThrow();
        List<SlotId> grantors = new GrantorTable(bundle.entrySlots()).grantorsOf(slot).members();
        fleet.network().cut(address, FakeNetwork.STORE);
        fleet.hosts()
                .forEach(
                        (other, h) -> {
                            Optional<SlotId> held = h.membership().heldSlot().map(HeldSlot::slot);
                            if (held.filter(grantors::contains).isEmpty()) {
                                fleet.network().cut(address, other);
                            }
                        });
    }

    @Example
    void hostCutOffFromEverythingStopsWithinBound() {
        try (FakeFleet fleet = running(SIZE)) {
            String address = fleet.addresses().get(0);
            FakeHost host = fleet.hosts().get(address);
            fleet.network().cut(address, FakeNetwork.STORE);
            fleet.addresses().forEach(other -> fleet.network().cut(address, other));
            assertThat(fleet.rollOut(fleet.bundle(2, List.of("new-key")))).isTrue();
            fleet.advance(WITHDRAWAL_MILLIS);
            assertThat(host.membership().isServing()).isFalse();
            assertThat(host.membership().heldSlot()).as("no notice can reach it").isPresent();
            PeerMessage request =
                    new PeerMessage.AcquireTokens(FakeFleet.WORKSPACE, new GrantId("late"), 1);
            assertThat(host.handle(request).block())
                    .as("grants no tokens without a lease")
                    .isEqualTo(new PeerMessage.TokensResponse(0, 0));
            fleet.network().healPartitions();
            fleet.advance(SETTLE_MILLIS);
            assertThat(accepts(host, "new-key")).isTrue();
        }
    }

    @Example
    void longStoreOutageStopsNobody() {
        try (FakeFleet fleet = running(SIZE)) {
            fleet.setStoreOutage(true);
            for (int millis = 0; millis < 600_000; millis += 500) {
                fleet.advance(500);
                assertThat(servingCount(fleet)).as("after %d ms", millis).isEqualTo(SIZE);
            }
            fleet.setStoreOutage(false);
            fleet.advance(SETTLE_MILLIS);
            assertThat(servingCount(fleet)).isEqualTo(SIZE);
        }
    }

    @Example
    void outageWithOneDeathStopsOnlyTheDeadHost() {
        try (FakeFleet fleet = running(SIZE)) {
            fleet.setStoreOutage(true);
            fleet.kill(fleet.addresses().get(3));
            for (int millis = 0; millis < 60_000; millis += 500) {
                fleet.advance(500);
                assertThat(servingCount(fleet)).as("after %d ms", millis).isEqualTo(SIZE - 1);
            }
        }
    }

    @Example
    void threeHostsSurviveOutageWithOneDeath() {
        try (FakeFleet fleet = running(3)) {
            fleet.setStoreOutage(true);
            fleet.kill(fleet.addresses().get(1));
            fleet.advance(60_000);
            assertThat(servingCount(fleet)).isEqualTo(2);
        }
    }

    @Example
    void hostThatStartsInOutageTakesBundleFromPeers() {
        try (FakeFleet fleet = running(SIZE)) {
            String address = fleet.addresses().get(2);
            fleet.kill(address);
            fleet.setStoreOutage(true);
            fleet.advance(1_000);
            fleet.start(address);
            fleet.advance(SETTLE_MILLIS);
            assertThat(accepts(fleet.hosts().get(address), "old-key")).isTrue();
            assertThat(fleet.hosts().get(address).membership().heldSlot()).isEmpty();
        }
    }

    @Example
    void wholeFleetRestartsWithoutAnOperator() {
        try (FakeFleet fleet = running(SIZE)) {
            fleet.addresses().forEach(fleet::kill);
            fleet.advance(1_000);
            fleet.startAll();
            fleet.advance(SETTLE_MILLIS);
            assertThat(fleet.hosts().values())
                    .allMatch(host -> host.membership().servingSlot().isPresent());
        }
    }

    @Example
    void killedHostIsReplacedInPlaceWithinBound() {
        try (FakeFleet fleet = running(SIZE)) {
            String address = fleet.addresses().get(4);
            fleet.kill(address);
            fleet.start(address);
            fleet.advance(WITHDRAWAL_MILLIS);
            assertThat(fleet.hosts().get(address).membership().servingSlot()).isPresent();
        }
    }

    @Example
    void slotOfADeadHostIsVacatedSoThatRolloutsContinue() {
        try (FakeFleet fleet = running(SIZE)) {
            SlotId slot =
                    fleet.hosts()
                            .get(fleet.addresses().get(4))
                            .membership()
                            .heldSlot()
                            .map(HeldSlot::slot)
                            .orElseThrow();
            fleet.kill(fleet.addresses().get(4));
            fleet.advance(30_000);
            assertThat(fleet.storedSlot(slot).map(SlotRecord::state))
                    .as(fleet.describe())
                    .contains(SlotRecord.State.VACANT);
            assertThat(fleet.rollOut(fleet.bundle(2, List.of("new-key")))).isTrue();
            fleet.advance(WITHDRAWAL_MILLIS);
            assertThat(fleet.storedHead().map(BundleHead::accepted)).contains(true);
        }
    }

    @Example
    void swapRightBeforeAnOutageIsAcceptedAfterIt() {
        try (FakeFleet fleet = running(SIZE)) {
            assertThat(fleet.rollOut(fleet.bundle(2, List.of("new-key")))).isTrue();
            fleet.setStoreOutage(true);
            fleet.advance(20_000);
            assertThat(anyAccepts(fleet, "old-key")).isFalse();
            fleet.addresses().forEach(address -> restart(fleet, address));
            fleet.setStoreOutage(false);
            fleet.advance(20_000);
            assertThat(fleet.storedHead().map(BundleHead::generation)).contains(new Generation(2));
            assertThat(fleet.storedHead().map(BundleHead::accepted)).contains(true);
            assertThat(fleet.hosts().values()).allMatch(host -> accepts(host, "new-key"));
        }
    }

    private static void restart(FakeFleet fleet, String address) {
        fleet.kill(address);
        fleet.advance(TICK_MILLIS);
        fleet.start(address);
    }

    @Example
    void bundleNeverRevertsOnAnyHost() {
        try (FakeFleet fleet = running(SIZE)) {
            for (long version = 2; version <= 6; version++) {
                Generation before = lowestGeneration(fleet);
                fleet.rollOut(fleet.bundle(version, List.of("key-" + version)));
                restart(fleet, fleet.addresses().get((int) version % SIZE));
                fleet.advance(SETTLE_MILLIS);
                assertThat(lowestGeneration(fleet)).isGreaterThanOrEqualTo(before);
            }
            assertThat(lowestGeneration(fleet)).isEqualTo(new Generation(6));
        }
    }

    @Example
    void supersededHostThatReachesOnlyItsGrantorsStops() {
        try (FakeFleet fleet = new FakeFleet(SEED, SIZE + FakeFleet.DOMAINS, SIZE, 2)) {
            assertThat(fleet.rollOut(fleet.bundle(1, List.of("old-key")))).isTrue();
            fleet.addresses().stream().limit(SIZE).forEach(fleet::start);
            fleet.advance(SETTLE_MILLIS);
            fleet.addresses().stream().skip(SIZE).forEach(fleet::start);
            fleet.advance(SETTLE_MILLIS);
            FakeHost old = fleet.hosts().get(fleet.addresses().get(0));
            SlotId slot = old.membership().heldSlot().map(HeldSlot::slot).orElseThrow();
            isolateFromAllButGrantors(fleet, fleet.addresses().get(0), old);
            for (int millis = 0; millis < 20_000; millis += TICK_MILLIS) {
                fleet.advance(TICK_MILLIS);
                assertThat(fleet.servingHolders(slot)).hasSizeLessThanOrEqualTo(1);
            }
            assertThat(fleet.servingHolders(slot)).as("the spare holds the slot").hasSize(1);
            assertThat(fleet.servingHolders(slot)).doesNotContain(old);
        }
    }

    @Example
    void grantorsWhoseOwnLeasesExpiredDoNotKeepAHostActing() {
        try (FakeFleet fleet = running(SIZE)) {
            List<String> group = groupWithoutMajorities(fleet);
            fleet.network().isolate(group, fleet.addresses());
            fleet.advance(20_000);
            fleet.rollOut(fleet.bundle(2, List.of("new-key")));
            for (int millis = 0; millis < 40_000; millis += TICK_MILLIS) {
                fleet.advance(TICK_MILLIS);
                boolean accepted = fleet.storedHead().orElseThrow().accepted();
                boolean old =
                        group.stream().anyMatch(a -> accepts(fleet.hosts().get(a), "old-key"));
                assertThat(accepted && old).as("after %d ms", millis).isFalse();
            }
            assertThat(fleet.storedHead().map(BundleHead::accepted)).contains(true);
        }
    }

    /**
     * Finds a group of a host and two of its grantors in which neither grantor has a majority of
     * its own grantors.
     */
    private static List<String> groupWithoutMajorities(FakeFleet fleet) {
        Bundle bundle = fleet.bundle(1, List.of());
        GrantorTable grantorTable = new GrantorTable(bundle.entrySlots());
        return grantorTable.grantorSets().stream()
                .flatMap(
                        grantorSet ->
                                IntStream.range(0, grantorSet.members().size())
                                        .mapToObj(omitted -> groupWithout(grantorSet, omitted)))
                .filter(
                        group ->
                                group.stream()
                                        .skip(1)
                                        .noneMatch(
                                                s -> grantorTable.grantorsOf(s).hasMajority(group)))
                .findFirst()
                .map(group -> group.stream().map(slot -> addressOf(fleet, slot)).toList())
                .orElseThrow();
    }

    private static List<SlotId> groupWithout(GrantorSet grantorSet, int omitted) {
        List<SlotId> group = new ArrayList<>(grantorSet.members());
        group.remove(omitted);
        group.add(0, grantorSet.subject());
        return group;
    }

    private static String addressOf(FakeFleet fleet, SlotId slot) {
        return fleet.storedSlot(slot).map(SlotRecord::peerAddress).orElseThrow();
    }

    private static Generation lowestGeneration(FakeFleet fleet) {
        return fleet.hosts().values().stream()
                .flatMap(host -> host.membership().servingView().stream())
                .map(ServingView::head)
                .map(BundleHead::generation)
                .min(Generation::compareTo)
                .orElseThrow();
    }
}
