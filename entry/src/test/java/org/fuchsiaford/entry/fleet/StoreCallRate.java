package org.fuchsiaford.entry.fleet;

import java.util.List;

/** Measures the rate of store calls of a fleet without faults. Stateless. */
public final class StoreCallRate {
    private static final int CALM_SECONDS = 60;

    private StoreCallRate() {}

    /**
     * Returns the store calls per second of a fleet with the given number of hosts; open watches
     * are not counted.
     */
    public static double callsPerSecond(int hosts) {
        try (FakeFleet fleet = new FakeFleet(1, hosts, 2)) {
            fleet.rollOut(fleet.bundle(1, List.of("key")));
            fleet.startAll();
            fleet.advance(20_000);
            long before = fleet.storeCalls();
            fleet.advance(CALM_SECONDS * 1_000);
            return (double) (fleet.storeCalls() - before) / CALM_SECONDS;
        }
    }
}
