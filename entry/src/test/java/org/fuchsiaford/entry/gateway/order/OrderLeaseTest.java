package org.fuchsiaford.entry.gateway.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.OrderLeaseTerm;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.store.StoreSnapshot;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests two hosts that compete for the order lease in virtual time, with lost store responses. */
class OrderLeaseTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long LEASE_SECONDS = 3;
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(LEASE_SECONDS);

    private long mNowNanos = LEASE_NANOS;
    private final LeaseStore mStore = new LeaseStore();
    private final OrderLease mFirst = lease("first");
    private final OrderLease mSecond = lease("second");

    /** A store of one key under a lease; unused operations fail. */
    private final class LeaseStore implements Store {
        private final Map<Long, Long> mLeaseEndNanos = new HashMap<>();
        private StoreEntry mEntry;
        private long mEntryLease;
        private long mLastRevision;
        private boolean mLoseResponses;
        private long mEra = 1;

        private void expire() {
            if (mEntry != null && mLeaseEndNanos.getOrDefault(mEntryLease, 0L) <= mNowNanos) {
                mEntry = null;
            }
        }

        private <T> Mono<T> respond(T value) {
            return mLoseResponses
                    ? Mono.error(new StoreException(Step.LEASE_STORE, "lost", null))
                    : Mono.just(value);
        }

        @Override
        public long era() {
            return mEra;
        }

        @Override
        public Mono<StoreSnapshot> read(List<StoreKey> keys) {
            expire();
            return respond(
                    new StoreSnapshot(mLastRevision, mEntry == null ? List.of() : List.of(mEntry)));
        }

        @Override
        public Mono<StoreSnapshot> readPrefix(StoreKey prefix) {
            return Mono.error(new UnsupportedOperationException());
        }

        @Override
        public Mono<Boolean> compareAndSwap(
                StoreKey key, long expectedRevision, byte[] value, StoreLeaseId lease) {
            expire();
            if (mEntry != null) {
                return respond(false);
            }
            mEntry = new StoreEntry(key, value, ++mLastRevision);
            mEntryLease = lease.value();
            return respond(true);
        }

        @Override
        public Mono<StoreLeaseId> grantLease(long timeToLiveSeconds) {
            mLeaseEndNanos.put(
                    ++mLastRevision, mNowNanos + TimeUnit.SECONDS.toNanos(timeToLiveSeconds));
            return respond(new StoreLeaseId(mLastRevision));
        }

        @Override
        public Mono<Boolean> keepAlive(StoreLeaseId lease) {
            expire();
            boolean alive = mLeaseEndNanos.getOrDefault(lease.value(), 0L) > mNowNanos;
            if (alive) {
                mLeaseEndNanos.put(lease.value(), mNowNanos + LEASE_NANOS);
            }
            return respond(alive);
        }

        @Override
        public Mono<Void> revokeLease(StoreLeaseId lease) {
            mLeaseEndNanos.remove(lease.value());
            return Mono.empty();
        }

        @Override
        public Flux<StoreChange> watch(StoreKey prefix, long fromRevision) {
            return Flux.error(new UnsupportedOperationException());
        }
    }

    private OrderLease lease(String host) {
        return new OrderLease(mStore, new HostId(host), LEASE_SECONDS, () -> mNowNanos);
    }

    private boolean mayOrder(OrderLease lease) {
        return lease.currentTerm().map(term -> term.mayOrder(mNowNanos)).orElse(false);
    }

    private Optional<OrderLeaseTerm> acquire(OrderLease lease) {
        return lease.acquire().onErrorComplete().blockOptional();
    }

    private void renewFor(OrderLease lease, long millis) {
        for (long passed = 0; passed < millis; passed += 500) {
            mNowNanos += 500 * MILLI;
            lease.renew().onErrorComplete().block();
        }
    }

    @Example
    void aNewHolderSendsNoOrdersDuringItsFirstLease() {
        assertThat(acquire(mFirst)).isPresent();
        renewFor(mFirst, 3_000);
        assertThat(mayOrder(mFirst)).isFalse();
        renewFor(mFirst, 1_000);
        assertThat(mayOrder(mFirst)).isTrue();
    }

    @Example
    void aTermEndsBeforeTheLeaseIfRenewalsAreLost() {
        acquire(mFirst);
        renewFor(mFirst, 4_000);
        mStore.mLoseResponses = true;
        mNowNanos += 2_200 * MILLI;
        assertThat(mayOrder(mFirst)).isTrue();
        mNowNanos += 200 * MILLI;
        assertThat(mayOrder(mFirst)).isFalse();
    }

    @Example
    void theNextHolderHasAHigherFence() {
        OrderLeaseTerm first = acquire(mFirst).orElseThrow();
        assertThat(acquire(mSecond)).isEmpty();
        mFirst.release().block();
        assertThat(mFirst.currentTerm()).isEmpty();
        OrderLeaseTerm second = acquire(mSecond).orElseThrow();
        assertThat(second.fence()).isGreaterThan(first.fence());
    }

    /** A restored store may have lost the record, so that another host holds the lease. */
    @Example
    void aTermEndsWhenANewEraOfTheStoreBegins() {
        acquire(mFirst);
        renewFor(mFirst, 4_000);
        assertThat(mayOrder(mFirst)).isTrue();
        mStore.mEra = 2;
        assertThat(mayOrder(mFirst)).isFalse();
    }

    /**
     * For any sequence of renewals, lost responses and takeovers, no two hosts may send orders
     * within the duration of one lease.
     */
    @Property(tries = 300, seed = "71")
    void twoHostsNeverOrderWithinALease(
            @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 9) Integer> actions) {
        OrderLease[] leases = {lease("a"), lease("b")};
        mStore.mEntry = null;
        long[] lastOrderNanos = {-1, -1};
        for (int action : actions) {
            mNowNanos += 250 * MILLI;
            mStore.mLoseResponses = action % 5 == 4;
            OrderLease lease = leases[action % 2];
            if (lease.currentTerm().isPresent()) {
                lease.renew().onErrorComplete().block();
            } else if (action % 3 == 0) {
                acquire(lease);
            }
            for (int host = 0; host < leases.length; host++) {
                if (mayOrder(leases[host])) {
                    lastOrderNanos[host] = mNowNanos;
                }
            }
            if (lastOrderNanos[0] >= 0 && lastOrderNanos[1] >= 0) {
                assertThat(Math.abs(lastOrderNanos[0] - lastOrderNanos[1]))
                        .isGreaterThanOrEqualTo(LEASE_NANOS);
            }
        }
    }
}
