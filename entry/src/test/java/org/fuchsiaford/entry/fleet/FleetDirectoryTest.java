package org.fuchsiaford.entry.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;

/**
 * The addresses that hosts give to callers while other hosts end and links or the store fail, in
 * virtual time. Guards against naming hosts that ended long ago, or hosts of another region.
 */
class FleetDirectoryTest {
    private static final long STEP_MILLIS = 100;
    private static final long STARTED_MILLIS = 4_000;
    private static final long TROUBLE_MILLIS = 6_000;
    private static final long STORE_AWAY_MILLIS = 10_000;
    private static final long STORE_BACK_MILLIS = 18_000;
    private static final long LAST_KILL_MILLIS = 20_000;
    private static final long END_MILLIS = 28_000;

    /** The platform's bound: three seconds and the shortest time of contact. */
    private static final long MAX_NAMED_MILLIS = 6_000;

    /** At how many hosts callers ask in each step. */
    private static final int ASKED_HOSTS = 6;

    private final Map<String, Long> mEndedMillis = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private FakeGatewayFleet mFleet;
    private Random mRandom;
    private long mNowMillis;

    private void run(int hosts, FleetTrouble trouble, long seed) {
        mRandom = new Random(seed);
        mEndedMillis.clear();
        mViolations.clear();
        try (FakeGatewayFleet fleet = new FakeGatewayFleet(seed, hosts)) {
            mFleet = fleet;
            fleet.addresses().forEach(fleet::start);
            for (mNowMillis = 0; mNowMillis < END_MILLIS; mNowMillis += STEP_MILLIS) {
                if (mNowMillis == TROUBLE_MILLIS) {
                    trouble.begin(fleet);
                }
                if (mNowMillis == STORE_AWAY_MILLIS) {
                    fleet.network().setDown(FakeNetwork.STORE, true);
                }
                if (mNowMillis == STORE_BACK_MILLIS) {
                    fleet.network().setDown(FakeNetwork.STORE, false);
                }
                endHosts(hosts);
                fleet.advance(STEP_MILLIS);
                if (mNowMillis >= STARTED_MILLIS) {
                    askHosts(hosts);
                }
            }
        }
        assertThat(mViolations).as("%d hosts, %s, seed %d", hosts, trouble, seed).isEmpty();
        assertThat(mEndedMillis).isNotEmpty();
    }

    /** Ends a coordinator or another host every second; at least a third of the hosts goes on. */
    private void endHosts(int hosts) {
        boolean due = mNowMillis > TROUBLE_MILLIS && mNowMillis <= LAST_KILL_MILLIS;
        if (!due || mNowMillis % 1_000 != 0 || mEndedMillis.size() >= hosts * 2 / 3) {
            return;
        }
        List<FakeGateway> running = mFleet.hosts();
        Optional<FakeGateway> coordinator =
                running.stream().filter(FakeGateway::isCoordinator).findFirst();
        String ended =
                coordinator
                        .filter(host -> mRandom.nextInt(3) == 0)
                        .orElse(running.get(mRandom.nextInt(running.size())))
                        .address();
        mFleet.kill(ended);
        mEndedMillis.put(ended, mNowMillis);
    }

    private void askHosts(int hosts) {
        List<FakeGateway> running = mFleet.hosts();
        for (int i = 0; i < ASKED_HOSTS; i++) {
            FakeGateway host = running.get(mRandom.nextInt(running.size()));
            FailureDomainId domain = new FailureDomainId("d" + mRandom.nextInt(3));
            check(host.address(), domain, host.callerAddresses(domain));
        }
    }

    private void check(String asked, FailureDomainId domain, List<String> addresses) {
        addresses.stream()
                .filter(
                        a ->
                                mNowMillis - mEndedMillis.getOrDefault(a, mNowMillis)
                                        > MAX_NAMED_MILLIS)
                .forEach(a -> mViolations.add(mNowMillis + " ms: " + asked + " names " + a));
        Set<Optional<RegionId>> regions =
                addresses.stream()
                        .map(mFleet::domainOf)
                        .map(FakeGatewayFleet.REGIONS::regionOf)
                        .collect(Collectors.toSet());
        Optional<RegionId> own = FakeGatewayFleet.REGIONS.regionOf(domain);
        if (addresses.isEmpty() || regions.contains(own) && regions.size() > 1) {
            mViolations.add(mNowMillis + " ms: " + asked + " names " + addresses + " to " + own);
        }
        boolean settled = mNowMillis < TROUBLE_MILLIS;
        if (settled && !regions.contains(own)) {
            mViolations.add(mNowMillis + " ms: " + asked + " names no host of " + own);
        }
    }

    @Property(tries = 27, seed = "81", shrinking = ShrinkingMode.OFF)
    void sixHostsNameOnlyRunningHostsOfTheRegion(
            @ForAll FleetTrouble trouble, @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        run(6, trouble, seed);
    }

    @Property(tries = 9, seed = "82", shrinking = ShrinkingMode.OFF)
    void ninetyFiveHostsNameOnlyRunningHostsOfTheRegion(@ForAll("troubles") FleetTrouble trouble) {
        run(95, trouble, 95);
    }

    @Provide
    Arbitrary<FleetTrouble> troubles() {
        return Arbitraries.of(FleetTrouble.class);
    }

    @Example
    void threeHundredNinetyHostsNameOnlyRunningHostsOfTheRegion() {
        run(390, FleetTrouble.HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME, 390);
    }
}
