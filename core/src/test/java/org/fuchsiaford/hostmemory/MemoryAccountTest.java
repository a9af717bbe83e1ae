package org.fuchsiaford.hostmemory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against crowds of requests that together exceed the memory of a host. */
class MemoryAccountTest {
    private static final long MIB = 1024 * 1024;
    private static final long MAX_BYTES = 16 * MIB;
    private static final long STALLED_NANOS = MemoryAccount.STALL_NANOS;

    private final MemoryAccount mAccount = new MemoryAccount(MAX_BYTES);
    private final List<String> mEvicted = new ArrayList<>();

    private MemoryAccount.Holding arriving(String name, long bytes, long receivedBytes) {
        MemoryAccount.Holding holding = mAccount.openArriving(0, () -> mEvicted.add(name));
        assertThat(holding.tryResize(bytes, 0)).isTrue();
        holding.recordReceived(receivedBytes, 0);
        return holding;
    }

    private long heldBytes() {
        return Stream.of(MemoryDirection.values()).mapToLong(mAccount::heldBytes).sum();
    }

    /** Guards against large bodies that keep all small requests out. */
    @Example
    void largeBodiesLeaveRoomForSmallRequests() {
        for (int i = 0; i < 8; i++) {
            arriving("large", MIB, MIB);
        }
        MemoryAccount.Holding ninth = mAccount.openArriving(0, () -> {});
        assertThat(ninth.tryResize(MIB, 0)).isFalse();
        assertThat(ninth.tryResize(MemoryAccount.SMALL_BYTES, 0)).isTrue();
        assertThat(mAccount.refusals(MemoryDirection.ARRIVING)).isEqualTo(1);
        assertThat(mEvicted).isEmpty();
    }

    /** Guards against bodies that stop short of their end and keep others out until they do. */
    @Example
    void stalledBodiesGiveWayLeastReceivedFirst() {
        arriving("more", 4 * MIB, 3 * MIB);
        arriving("less", 4 * MIB, 2 * MIB);
        MemoryAccount.Holding next = mAccount.openArriving(STALLED_NANOS, () -> {});
        assertThat(next.tryResize(2 * MIB, STALLED_NANOS)).isTrue();
        assertThat(mEvicted).containsExactly("less");
        assertThat(heldBytes()).isEqualTo(6 * MIB);
    }

    /** Guards against a body that a new request displaces though it makes progress. */
    @Example
    void bodiesThatMakeProgressStay() {
        MemoryAccount.Holding first = arriving("first", 8 * MIB, 0);
        first.recordReceived(MemoryAccount.PROGRESS_BYTES, STALLED_NANOS);
        MemoryAccount.Holding next = mAccount.openArriving(STALLED_NANOS, () -> {});
        assertThat(next.tryResize(2 * MIB, STALLED_NANOS)).isFalse();
        assertThat(mEvicted).isEmpty();
    }

    /** Guards against a body that is kept for good because a byte arrives now and then. */
    @Example
    void aBodySentByteByByteHasStalled() {
        MemoryAccount.Holding first = arriving("drip", 8 * MIB, 0);
        first.recordReceived(1, STALLED_NANOS);
        MemoryAccount.Holding next = mAccount.openArriving(STALLED_NANOS, () -> {});
        assertThat(next.tryResize(2 * MIB, STALLED_NANOS)).isTrue();
        assertThat(mEvicted).containsExactly("drip");
    }

    /** Guards against new heads that displace requests that servers may be running. */
    @Example
    void completeBodiesAndResponsesNeverGiveWay() {
        arriving("complete", 8 * MIB, 8 * MIB).moveTo(MemoryDirection.WAITING);
        MemoryAccount.Holding response = mAccount.open(MemoryDirection.RESPONSES);
        assertThat(response.tryResize(4 * MIB, 0)).isTrue();
        MemoryAccount.Holding head = mAccount.open(MemoryDirection.HEADS);
        assertThat(head.tryResize(1, STALLED_NANOS)).isFalse();
        assertThat(response.tryResize(6 * MIB, STALLED_NANOS)).isTrue();
        assertThat(mEvicted).isEmpty();
        assertThat(mAccount.heldBytes(MemoryDirection.WAITING)).isEqualTo(8 * MIB);
    }

    /** Guards against endless responses that keep small ones of sound servers out. */
    @Example
    void largeResponsesLeaveRoomForSmallOnes() {
        MemoryAccount.Holding large = mAccount.open(MemoryDirection.RESPONSES);
        assertThat(large.tryResize(14 * MIB, 0)).isTrue();
        assertThat(large.tryResize(14 * MIB + 1, 0)).isFalse();
        MemoryAccount.Holding small = mAccount.open(MemoryDirection.RESPONSES);
        assertThat(small.tryResize(MemoryAccount.SMALL_BYTES, 0)).isTrue();
    }

    /** Guards against bytes that are returned twice after a body has given way. */
    @Example
    void anEvictedHoldingStaysEmpty() {
        MemoryAccount.Holding evicted = arriving("evicted", 8 * MIB, 0);
        MemoryAccount.Holding next = mAccount.openArriving(STALLED_NANOS, () -> {});
        assertThat(next.tryResize(8 * MIB, STALLED_NANOS)).isTrue();
        assertThat(evicted.tryResize(1, STALLED_NANOS)).isFalse();
        assertThat(evicted.moveTo(MemoryDirection.WAITING)).isFalse();
        evicted.close();
        assertThat(heldBytes()).isEqualTo(8 * MIB);
    }

    /** Guards against sums above the bound and against bytes that are never returned. */
    @Property(tries = 200, seed = "7")
    void neverAboveTheBoundAndAllReturned(@ForAll long seed) {
        Random random = new Random(seed);
        List<MemoryAccount.Holding> holdings = new ArrayList<>();
        MemoryDirection[] directions = MemoryDirection.values();
        long nowNanos = 0;
        for (int step = 0; step < 300; step++) {
            nowNanos += random.nextLong(STALLED_NANOS);
            if (holdings.isEmpty() || random.nextInt(4) == 0) {
                holdings.add(
                        random.nextBoolean()
                                ? mAccount.openArriving(nowNanos, () -> mEvicted.add("any"))
                                : mAccount.open(directions[random.nextInt(directions.length)]));
            }
            MemoryAccount.Holding holding = holdings.get(random.nextInt(holdings.size()));
            switch (random.nextInt(6)) {
                case 0 -> holding.close();
                case 1 -> holding.moveTo(MemoryDirection.WAITING);
                case 2 -> holding.recordReceived(random.nextLong(MIB), nowNanos);
                default -> holding.tryResize(random.nextLong(MAX_BYTES / 3), nowNanos);
            }
            assertThat(heldBytes()).isBetween(0L, MAX_BYTES);
        }
        holdings.forEach(MemoryAccount.Holding::close);
        assertThat(heldBytes()).isZero();
    }
}
