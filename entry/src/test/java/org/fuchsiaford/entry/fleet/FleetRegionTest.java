package org.fuchsiaford.entry.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;

/**
 * Fleets whose requests are bound to regions while hosts, links or the store fail, in virtual time.
 * Guards against engines in other regions, or in failure domains whose region is not known.
 */
class FleetRegionTest {
    private static final long STEP_MILLIS = 50;
    private static final long FIRST_REQUEST_MILLIS = 3_000;
    private static final long TROUBLE_MILLIS = 6_000;

    /** Hosts have a path to some scheduler again so long after the trouble has begun. */
    private static final long SETTLED_MILLIS = 14_000;

    private static final long END_MILLIS = 20_000;
    private static final RegionId ONE = new RegionId("r1");
    private static final RegionId TWO = new RegionId("r2");
    private static final List<List<RegionId>> ALLOWED =
            List.of(List.of(ONE), List.of(TWO), List.of(ONE, TWO), List.of(new RegionId("r3")));

    private final List<String> mForbidden = new ArrayList<>();
    private final Map<List<RegionId>, Integer> mServedSettled = new HashMap<>();
    private int mRequests;

    private void run(int hosts, FleetTrouble trouble, long seed) {
        Random random = new Random(seed);
        mForbidden.clear();
        mServedSettled.clear();
        try (FakeGatewayFleet fleet = new FakeGatewayFleet(seed, hosts)) {
            for (String domain : List.of("d0", "d1", "d2", "elsewhere")) {
                fleet.registerIn(domain, "e-" + domain);
            }
            fleet.addresses().forEach(fleet::start);
            for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
                if (now == TROUBLE_MILLIS) {
                    trouble.begin(fleet);
                }
                if (now >= FIRST_REQUEST_MILLIS) {
                    boolean settled = now >= SETTLED_MILLIS;
                    String address = fleet.addresses().get(random.nextInt(hosts));
                    ALLOWED.forEach(a -> fleet.host(address).ifPresent(h -> send(h, a, settled)));
                }
                fleet.advance(STEP_MILLIS);
            }
        }
        assertThat(mForbidden).as("%d hosts, %s, seed %d", hosts, trouble, seed).isEmpty();
        assertThat(mServedSettled).containsOnlyKeys(ALLOWED.subList(0, 3));
    }

    private void send(FakeGateway host, List<RegionId> allowed, boolean settled) {
        host.acquire(new RequestId("r" + mRequests++), Optional.empty(), allowed)
                .subscribe(engine -> record(engine, allowed, settled), e -> {});
    }

    private void record(LiveServer engine, List<RegionId> allowed, boolean settled) {
        Optional<RegionId> region = FakeGatewayFleet.REGIONS.regionOf(engine.failureDomain());
        if (region.filter(allowed::contains).isEmpty()) {
            mForbidden.add(engine.id() + " for " + allowed);
        } else if (settled) {
            mServedSettled.merge(allowed, 1, Integer::sum);
        }
    }

    @Property(tries = 27, seed = "71", shrinking = ShrinkingMode.OFF)
    void sixHostsServeRequestsInTheirRegionsOnly(
            @ForAll FleetTrouble trouble, @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        run(6, trouble, seed);
    }

    @Property(tries = 9, seed = "72", shrinking = ShrinkingMode.OFF)
    void ninetyFiveHostsServeRequestsInTheirRegionsOnly(@ForAll("troubles") FleetTrouble trouble) {
        run(95, trouble, 95);
    }

    @Provide
    Arbitrary<FleetTrouble> troubles() {
        return Arbitraries.of(FleetTrouble.class);
    }

    @Example
    void threeHundredNinetyHostsServeRequestsInTheirRegionsOnly() {
        run(390, FleetTrouble.HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME, 390);
    }
}
