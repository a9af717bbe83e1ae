package org.fuchsiaford.entry.member;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Maintains the key in the store that indicates that the holder of this host's slot is live. Safety
 * does not depend on it: other hosts use it only to decide when to look for a replacement holder
 * and which hosts to recommend to callers.
 *
 * <p>Thread-safe.
 */
public final class LivenessKey {
    private static final long LEASE_TTL_SECONDS = 9;
    private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Membership mMembership;
    private final Store mStore;
    private final Ticker mTicker;
    private final AtomicReference<WrittenKey> mWritten = new AtomicReference<>();

    private record WrittenKey(SlotId slot, StoreLeaseId lease, long renewalNanos) {}

    /** Creates an instance; nothing is written before {@link #maintain} is called. */
    public LivenessKey(Membership membership, Store store, Ticker ticker) {
        mMembership = membership;
        mStore = store;
        mTicker = ticker;
    }

    /** Writes the key or renews its store lease, if either is due; does nothing without a slot. */
    public Mono<Void> maintain() {
        HeldSlot held = mMembership.heldSlot().orElse(null);
        WrittenKey written = mWritten.get();
        if (held == null) {
            return Mono.empty();
        }
        if (written == null || !written.slot().equals(held.slot())) {
            return write(held.slot());
        }
        if (mTicker.nowNanos() - written.renewalNanos() < 0) {
            return Mono.empty();
        }
        return mStore.keepAlive(written.lease())
                .flatMap(alive -> alive ? scheduleRenewal(written) : write(held.slot()));
    }

    private Mono<Void> scheduleRenewal(WrittenKey written) {
        mWritten.set(new WrittenKey(written.slot(), written.lease(), nextRenewalNanos()));
        return Mono.empty();
    }

    private Mono<Void> write(SlotId slot) {
        StoreKey key = StoreKeys.liveness(slot);
        byte[] value = mMembership.host().value().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return mStore.grantLease(LEASE_TTL_SECONDS)
                .flatMap(
                        lease ->
                                mStore.read(List.of(key))
                                        .flatMap(
                                                read ->
                                                        mStore.compareAndSwap(
                                                                key,
                                                                read.revisionOf(key),
                                                                value,
                                                                lease))
                                        .filter(swapped -> swapped)
                                        .doOnNext(
                                                swapped ->
                                                        mWritten.set(
                                                                new WrittenKey(
                                                                        slot,
                                                                        lease,
                                                                        nextRenewalNanos()))))
                .then();
    }

    private long nextRenewalNanos() {
        return mTicker.nowNanos() + RENEWAL_INTERVAL_NANOS;
    }
}
