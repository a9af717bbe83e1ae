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
 * The right to send stage orders, which at most one host has at a time. Its holder is the host
 * whose record is in the store; the record is bound to a lease of the store.
 *
 * <p>Invariant: on this host's monotonic clock a term ends before the lease can expire at the
 * store; a renewal whose response is lost does not extend the term. A term ends with the era of the
 * store in which it began, since the record may be lost with it. Thread-safe.
 */
final class OrderLease {
    /**
     * Unused time at the end of the lease, for clock drift and one delayed round of the {@link
     * StageController}.
     */
    private static final long SAFETY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** Maximum time in which an order sent at the end of a term reaches its engine. */
    private static final long MAX_DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private static final Duration READ_TIMEOUT = Duration.ofMillis(700);

    private final Store mStore;
    private final HostId mSelf;
    private final long mLeaseSeconds;
    private final Ticker mTicker;
    private Optional<OrderLeaseTerm> mTerm = Optional.empty();
    private StoreLeaseId mLease = StoreLeaseId.NONE;

    OrderLease(Store store, HostId self, long leaseSeconds, Ticker ticker) {
        mStore = store;
        mSelf = self;
        mLeaseSeconds = leaseSeconds;
        mTicker = ticker;
    }

    /** Returns the term of this host, if it has one that has not ended. */
    synchronized Optional<OrderLeaseTerm> currentTerm() {
        boolean isInEra = mLease.era() == mStore.era();
        mTerm = mTerm.filter(t -> isInEra && mTicker.nowNanos() - t.untilNanos() < 0);
        return mTerm;
    }

    /** Creates the holder's record; completes empty if another host holds it. */
    Mono<OrderLeaseTerm> acquire() {
        long requestedNanos = mTicker.nowNanos();
        byte[] value = mSelf.value().getBytes(StandardCharsets.UTF_8);
        return mStore.grantLease(mLeaseSeconds)
                .flatMap(
                        lease ->
                                mStore.compareAndSwap(
                                                StoreKeys.ORDER_HOLDER,
                                                StoreEntry.ABSENT_REVISION,
                                                value,
                                                lease)
                                        .filter(created -> created)
                                        .flatMap(created -> readTerm(lease, requestedNanos)));
    }

    private Mono<OrderLeaseTerm> readTerm(StoreLeaseId lease, long requestedNanos) {
        return mStore.read(List.of(StoreKeys.ORDER_HOLDER))
                .timeout(READ_TIMEOUT)
                .flatMap(
                        snapshot ->
                                Mono.justOrEmpty(
                                        snapshot.entry(StoreKeys.ORDER_HOLDER)
                                                .filter(this::isOwn)
                                                .map(e -> startTerm(lease, e, requestedNanos))));
    }

    private boolean isOwn(StoreEntry entry) {
        return new String(entry.value(), StandardCharsets.UTF_8).equals(mSelf.value());
    }

    private synchronized OrderLeaseTerm startTerm(
            StoreLeaseId lease, StoreEntry entry, long requestedNanos) {
        long fromNanos = mTicker.nowNanos() + leaseNanos() + MAX_DELIVERY_NANOS;
        OrderLeaseTerm term =
                new OrderLeaseTerm(entry.revision(), fromNanos, termEndNanos(requestedNanos));
        mLease = lease;
        mTerm = Optional.of(term);
        return term;
    }

    private long leaseNanos() {
        return TimeUnit.SECONDS.toNanos(mLeaseSeconds);
    }

    private long termEndNanos(long requestedNanos) {
        return requestedNanos + leaseNanos() - SAFETY_MARGIN_NANOS;
    }

    /** Renews the lease and extends the term; ends the term if the lease has expired. */
    Mono<Void> renew() {
        long requestedNanos = mTicker.nowNanos();
        return mStore.keepAlive(lease())
                .doOnNext(alive -> updateTerm(alive, requestedNanos))
                .then();
    }

    private synchronized StoreLeaseId lease() {
        return mLease;
    }

    private synchronized void updateTerm(boolean alive, long requestedNanos) {
        mTerm =
                alive
                        ? currentTerm().map(t -> t.renewedUntil(termEndNanos(requestedNanos)))
                        : Optional.empty();
    }

    /** Ends the term and deletes the holder's record. */
    Mono<Void> release() {
        StoreLeaseId lease;
        synchronized (this) {
            lease = mLease;
            mLease = StoreLeaseId.NONE;
            mTerm = Optional.empty();
        }
        return lease.equals(StoreLeaseId.NONE) ? Mono.empty() : mStore.revokeLease(lease);
    }
}
