package org.fuchsiaford.entry.gateway.order;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.OrderLeaseTerm;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Makes this host the only one that gives orders, by a record in the store under a lease.
 *
 * <p>Invariant: a tenure ends on this host's steady clock before the lease can end at the store; a
 * renewal whose answer is lost does not prolong it. Thread-safe.
 */
final class OrderLease {
    /** Time of the lease that is left unused: clocks at different rates and one slow turn. */
    private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** An order that was sent before a tenure ended has arrived within this time. */
    private static final long FLIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private static final Duration READ_PATIENCE = Duration.ofMillis(700);

    private final Store mStore;
    private final HostId mSelf;
    private final long mLeaseSeconds;
    private final Ticker mTicker;
    private Optional<OrderLeaseTerm> mTenure = Optional.empty();
    private StoreLeaseId mLease = StoreLeaseId.NONE;

    OrderLease(Store store, HostId self, long leaseSeconds, Ticker ticker) {
        mStore = store;
        mSelf = self;
        mLeaseSeconds = leaseSeconds;
        mTicker = ticker;
    }

    /** Returns the tenure, if this host has one that has not run out. */
    synchronized Optional<OrderLeaseTerm> currentTerm() {
        if (mTenure.filter(t -> mTicker.nowNanos() - t.untilNanos() < 0).isEmpty()) {
            mTenure = Optional.empty();
        }
        return mTenure;
    }

    /** Takes the record if nobody holds it; completes empty if somebody does. */
    Mono<OrderLeaseTerm> acquire() {
        long askedNanos = mTicker.nowNanos();
        byte[] value = mSelf.value().getBytes(StandardCharsets.UTF_8);
        return mStore.grantLease(mLeaseSeconds)
                .flatMap(
                        lease ->
                                mStore.compareAndSwap(
                                                StoreKeys.ORDER_HOLDER,
                                                StoreEntry.ABSENT_REVISION,
                                                value,
                                                lease)
                                        .filter(done -> done)
                                        .flatMap(done -> begin(lease, askedNanos)));
    }

    private Mono<OrderLeaseTerm> begin(StoreLeaseId lease, long askedNanos) {
        return mStore.read(List.of(StoreKeys.ORDER_HOLDER))
                .timeout(READ_PATIENCE)
                .flatMap(
                        snapshot ->
                                Mono.justOrEmpty(
                                        snapshot.entry(StoreKeys.ORDER_HOLDER)
                                                .filter(this::isOwn)
                                                .map(e -> hold(lease, e, askedNanos))));
    }

    private boolean isOwn(StoreEntry entry) {
        return new String(entry.value(), StandardCharsets.UTF_8).equals(mSelf.value());
    }

    private synchronized OrderLeaseTerm hold(
            StoreLeaseId lease, StoreEntry entry, long askedNanos) {
        long fromNanos = mTicker.nowNanos() + leaseNanos() + FLIGHT_NANOS;
        OrderLeaseTerm tenure = new OrderLeaseTerm(entry.revision(), fromNanos, until(askedNanos));
        mLease = lease;
        mTenure = Optional.of(tenure);
        return tenure;
    }

    private long leaseNanos() {
        return TimeUnit.SECONDS.toNanos(mLeaseSeconds);
    }

    private long until(long askedNanos) {
        return askedNanos + leaseNanos() - MARGIN_NANOS;
    }

    /** Renews the tenure; completes without prolonging it if the lease has ended. */
    Mono<Void> renew() {
        long askedNanos = mTicker.nowNanos();
        return mStore.keepAlive(lease()).doOnNext(alive -> renewed(alive, askedNanos)).then();
    }

    private synchronized StoreLeaseId lease() {
        return mLease;
    }

    private synchronized void renewed(boolean alive, long askedNanos) {
        mTenure =
                alive
                        ? currentTerm().map(t -> t.renewedUntil(until(askedNanos)))
                        : Optional.empty();
    }

    /** Gives the record up. */
    Mono<Void> release() {
        StoreLeaseId lease;
        synchronized (this) {
            lease = mLease;
            mLease = StoreLeaseId.NONE;
            mTenure = Optional.empty();
        }
        return lease.equals(StoreLeaseId.NONE) ? Mono.empty() : mStore.revokeLease(lease);
    }
}
