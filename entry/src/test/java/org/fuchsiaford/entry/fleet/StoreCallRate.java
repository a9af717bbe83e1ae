package org.fuchsiaford.entry.fleet;

import java.util.List;

/** Measures how many calls a calm fleet makes to the store. Stateless. */
public final class StoreCallRate {
    private static final int CALM_SECONDS = 60;

    private StoreCallRate() {}

    /** Returns the calls a second of a calm fleet of some hosts; open watches are not counted. */
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
