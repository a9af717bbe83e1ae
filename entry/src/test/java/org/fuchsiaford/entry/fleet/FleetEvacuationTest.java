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

    /** Begins before the evacuation and goes on until after its end. */
    enum Trouble {
        NONE,
        STORE_REFUSES_ONE_HOST,
        STORE_REFUSES_ALL_COORDINATORS,
        STORE_REFUSES_ALL_HOSTS_BUT_ONE,
        HOSTS_CUT_IN_TWO,
        HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME,
        ONE_HOST_CUT_OFF_FROM_ALL_HOSTS,
        MESSAGES_LOST,
        ALL_HOSTS_KILLED_BEFORE
    }

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

    private void run(int hosts, Trouble trouble, long seed) {
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
                    begin(trouble);
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

    private void begin(Trouble trouble) {
        List<String> addresses = mFleet.addresses();
        List<String> third = addresses.subList(0, addresses.size() / 3);
        switch (trouble) {
            case NONE -> {}
            case STORE_REFUSES_ONE_HOST -> refuse(addresses.subList(0, 1));
            case STORE_REFUSES_ALL_COORDINATORS ->
                    refuse(
                            mFleet.hosts().stream()
                                    .filter(FakeGateway::isCoordinator)
                                    .map(FakeGateway::address)
                                    .toList());
            case STORE_REFUSES_ALL_HOSTS_BUT_ONE -> refuse(addresses.subList(1, addresses.size()));
            case HOSTS_CUT_IN_TWO -> cutFromOthers(third);
            case HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME -> {
                cutFromOthers(third);
                refuse(addresses.subList(1, addresses.size() / 2));
            }
            case ONE_HOST_CUT_OFF_FROM_ALL_HOSTS -> cutFromOthers(addresses.subList(0, 1));
            case MESSAGES_LOST -> mFleet.network().setFaultRate(0.1);
            case ALL_HOSTS_KILLED_BEFORE -> {
                addresses.forEach(mFleet::kill);
                addresses.forEach(mFleet::start);
            }
        }
    }

    private void refuse(List<String> addresses) {
        mRefused.addAll(addresses);
        addresses.forEach(address -> mFleet.network().cut(address, FakeNetwork.STORE));
    }

    private void cutFromOthers(List<String> group) {
        mFleet.addresses().stream()
                .filter(other -> !group.contains(other))
                .forEach(other -> group.forEach(a -> mFleet.network().cut(a, other)));
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
            @ForAll Trouble trouble, @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        run(6, trouble, seed);
    }

    @Property(tries = 9, seed = "62", shrinking = ShrinkingMode.OFF)
    void ninetyFiveHostsLeaveAnEvacuatedDomainInTimeAndReturnToIt(
            @ForAll("troubles") Trouble trouble) {
        run(95, trouble, 95);
    }

    @Provide
    Arbitrary<Trouble> troubles() {
        return Arbitraries.of(Trouble.class);
    }

    @Example
    void threeHundredNinetyHostsLeaveAnEvacuatedDomainInTimeAndReturnToIt() {
        run(390, Trouble.HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME, 390);
    }
}
