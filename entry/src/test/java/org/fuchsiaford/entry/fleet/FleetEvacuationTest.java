package org.fuchsiaford.entry.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;

/**
 * Fleets that are told of an evacuation and of its end while hosts, links or the store fail, in
 * virtual time. Guards against requests to servers in an evacuated failure domain, and against
 * servers that stay unused after the evacuation has ended.
 */
class FleetEvacuationTest {
    private static final String EVACUATED = "away";
    private static final long STEP_MILLIS = 50;
    private static final long TROUBLE_MILLIS = 6_000;
    private static final long EVACUATION_MILLIS = 8_000;
    private static final long EVACUATION_END_MILLIS = 20_000;
    private static final long END_MILLIS = 32_000;

    /** The platform's bound until no request reaches an evacuated failure domain. */
    private static final long EVACUATE_MILLIS = 5_000;

    /** By how much the bound is longer for hosts that are cut off from the store. */
    private static final long MAX_SKEW_MILLIS = 6_000;

    private FakeGatewayFleet mFleet;
    private Random mRandom;
    private long mNowMillis;
    private int mRequests;

    /** Hosts that the store refuses. */
    private final Set<String> mRefused = new HashSet<>();

    private final List<String> mLateSends = new ArrayList<>();
    private long mLastAwayMillis;
    private int mSentAway;
    private int mSentElsewhere;

    private void run(int hosts, FleetTrouble trouble, long seed) {
        mRandom = new Random(seed);
        mRefused.clear();
        mLateSends.clear();
        mSentElsewhere = 0;
        mSentAway = 0;
        mLastAwayMillis = 0;
        try (FakeGatewayFleet fleet = new FakeGatewayFleet(seed, hosts)) {
            mFleet = fleet;
            for (int i = 0; i < 4; i++) {
                fleet.registerIn(i < 2 ? EVACUATED : "d0", "e" + i);
            }
            fleet.addresses().forEach(fleet::start);
            for (mNowMillis = 0; mNowMillis < END_MILLIS; mNowMillis += STEP_MILLIS) {
                if (mNowMillis == TROUBLE_MILLIS) {
                    mRefused.addAll(trouble.begin(fleet));
                }
                if (mNowMillis == EVACUATION_MILLIS) {
                    fleet.evacuate(EVACUATED);
                }
                if (mNowMillis == EVACUATION_END_MILLIS) {
                    fleet.endEvacuation(EVACUATED);
                }
                sendRequests(hosts);
                fleet.advance(STEP_MILLIS);
            }
        }
        assertThat(mLateSends).as("%d hosts, %s, seed %d", hosts, trouble, seed).isEmpty();
        assertThat(mSentElsewhere).isPositive();
        assertThat(mSentAway).isPositive();
        assertThat(mLastAwayMillis)
                .as("last request to the failure domain after its evacuation")
                .isGreaterThan(EVACUATION_END_MILLIS);
    }

    /** Sends a request from the first host and from a random one. */
    private void sendRequests(int hosts) {
        if (mNowMillis >= 3_000) {
            send(mFleet.addresses().get(0));
            send(mFleet.addresses().get(mRandom.nextInt(hosts)));
        }
    }

    private void send(String address) {
        mFleet.host(address)
                .ifPresent(
                        host ->
                                host.acquire(new RequestId("r" + mRequests++), Optional.empty())
                                        .subscribe(engine -> record(address, engine), e -> {}));
    }

    private void record(String address, LiveServer engine) {
        if (!engine.failureDomain().value().equals(EVACUATED)) {
            mSentElsewhere++;
            return;
        }
        mSentAway++;
        mLastAwayMillis = mNowMillis;
        long bound = EVACUATE_MILLIS + (mRefused.contains(address) ? MAX_SKEW_MILLIS : 0);
        if (mNowMillis > EVACUATION_MILLIS + bound && mNowMillis < EVACUATION_END_MILLIS) {
            mLateSends.add(address + " at " + mNowMillis + " ms");
        }
    }

    @Property(tries = 27, seed = "61", shrinking = ShrinkingMode.OFF)
    void sixHostsLeaveAnEvacuatedDomainInTimeAndReturnToIt(
            @ForAll FleetTrouble trouble, @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        run(6, trouble, seed);
    }

    @Property(tries = 9, seed = "62", shrinking = ShrinkingMode.OFF)
    void ninetyFiveHostsLeaveAnEvacuatedDomainInTimeAndReturnToIt(
            @ForAll("troubles") FleetTrouble trouble) {
        run(95, trouble, 95);
    }

    @Provide
    Arbitrary<FleetTrouble> troubles() {
        return Arbitraries.of(FleetTrouble.class);
    }

    @Example
    void threeHundredNinetyHostsLeaveAnEvacuatedDomainInTimeAndReturnToIt() {
        run(390, FleetTrouble.HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME, 390);
    }
}
