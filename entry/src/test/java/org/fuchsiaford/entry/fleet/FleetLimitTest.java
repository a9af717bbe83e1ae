package org.fuchsiaford.entry.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.entry.limit.Charge;
import org.fuchsiaford.entry.member.ServingView;
import reactor.core.publisher.Mono;

/**
 * Tests that all hosts together never exceed the limit of a workspace, in any interval of the
 * recorded admissions, under kills, restarts, network partitions, store outages, and late, lost and
 * duplicated messages.
 */
class FleetLimitTest {
    private static final int SIZE = 6;
    private static final int STEPS = 600;
    private static final int STEP_MILLIS = 25;
    private static final int FAULT_FREE_STEPS = 120;

    /** Clock rates deviate from true time by up to 1%, and so does accrual. */
    private static final double MAX_CLOCK_RATE = 1.01;

    @Property(tries = 40, seed = "41204", shrinking = ShrinkingMode.OFF)
    void neverMoreThanBurstAndRate(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int homes) {
        Random random = new Random(seed);
        AdmissionHistory history = new AdmissionHistory();
        try (FakeFleet fleet = new FakeFleet(seed, SIZE, homes)) {
            assertThat(fleet.rollOut(fleet.bundle(1, List.of("key-1")))).isTrue();
            fleet.startAll();
            long version = 1;
            for (int step = 0; step < STEPS; step++) {
                if (step >= FAULT_FREE_STEPS) {
                    injectFault(fleet, random);
                }
                if (random.nextInt(120) == 0) {
                    version++;
                    fleet.rollOut(fleet.bundle(version, List.of("key-" + version)));
                }
                fleet.hosts().values().forEach(host -> offerRequest(fleet, host, random, history));
                fleet.advance(STEP_MILLIS);
            }
        }
        assertThat(history.totalTokens()).as("admitted tokens, seed %d", seed).isPositive();
        assertThat(history.maxExcessTokens(FakeFleet.RATE * MAX_CLOCK_RATE, FakeFleet.BURST))
                .as("tokens beyond the limit, seed %d", seed)
                .isLessThanOrEqualTo(0);
    }

    private static void injectFault(FakeFleet fleet, Random random) {
        String address = fleet.addresses().get(random.nextInt(SIZE));
        switch (random.nextInt(60)) {
            case 0 -> fleet.kill(address);
            case 1, 2 -> {
                if (!fleet.hosts().containsKey(address)) {
                    fleet.start(address);
                }
            }
            case 3 -> fleet.network().cut(address, FakeNetwork.STORE);
            case 4 -> fleet.network().healPartitions();
            case 5 -> fleet.setStoreOutage(random.nextBoolean());
            case 6 -> fleet.network().setFaultRate(random.nextDouble() * 0.3);
            case 7 -> fleet.addresses().forEach(a -> fleet.network().cut(address, a));
            default -> {}
        }
    }

    /** Offers about twice the rate over all hosts; part of each charge is returned later. */
    private static void offerRequest(
            FakeFleet fleet, FakeHost host, Random random, AdmissionHistory history) {
        Optional<ServingView> view = host.membership().servingView();
        if (view.isEmpty() || random.nextInt(4) != 0) {
            return;
        }
        Workspace workspace = view.get().index().workspace(FakeFleet.WORKSPACE).orElseThrow();
        long costTokens = 1 + random.nextInt(400);
        long usedTokens = random.nextInt((int) costTokens + 1);
        long settleMillis = random.nextInt(4_000);
        host.admission()
                .admit(view.get(), workspace, costTokens)
                .doOnNext(
                        charge ->
                                recordAndSettle(
                                        fleet, host, history, charge, usedTokens, settleMillis))
                .onErrorResume(e -> Mono.empty())
                .subscribe();
    }

    private static void recordAndSettle(
            FakeFleet fleet,
            FakeHost host,
            AdmissionHistory history,
            Charge charge,
            long usedTokens,
            long settleMillis) {
        AdmissionHistory.Entry entry = history.add(fleet.trueTime().nowNanos(), charge.tokens());
        Mono.delay(java.time.Duration.ofMillis(settleMillis))
                .subscribe(
                        tick -> {
                            host.admission().settle(charge, usedTokens);
                            entry.setTokens(usedTokens);
                        });
    }
}
