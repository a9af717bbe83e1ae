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
 * Keeps the key in the store that shows this host to be live as the holder of its slot. Nothing is
 * safe because of it: it only tells others when to look for a replacement and whom to recommend.
 *
 * <p>Thread-safe.
 */
public final class LivenessKey {
    private static final long TIME_TO_LIVE_SECONDS = 9;
    private static final long KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Membership mMembership;
    private final Store mStore;
    private final Ticker mTicker;
    private final AtomicReference<Kept> mKept = new AtomicReference<>();

    private record Kept(SlotId slot, StoreLeaseId lease, long renewalNanos) {}

    /** Creates the keeper of the key. */
    public LivenessKey(Membership membership, Store store, Ticker ticker) {
        mMembership = membership;
        mStore = store;
        mTicker = ticker;
    }

    /** Writes the key or renews its lease, if that is due. */
    public Mono<Void> maintain() {
        HeldSlot held = mMembership.heldSlot().orElse(null);
        Kept kept = mKept.get();
        if (held == null) {
            return Mono.empty();
        }
        if (kept == null || !kept.slot().equals(held.slot())) {
            return write(held.slot());
        }
        if (mTicker.nowNanos() - kept.renewalNanos() < 0) {
            return Mono.empty();
        }
        return mStore.keepAlive(kept.lease())
                .flatMap(alive -> alive ? renewed(kept) : write(held.slot()));
    }

    private Mono<Void> renewed(Kept kept) {
        mKept.set(new Kept(kept.slot(), kept.lease(), nextRenewalNanos()));
        return Mono.empty();
    }

    private Mono<Void> write(SlotId slot) {
        StoreKey key = StoreKeys.liveness(slot);
        byte[] value = mMembership.host().value().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return mStore.grantLease(TIME_TO_LIVE_SECONDS)
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
                                        .filter(done -> done)
                                        .doOnNext(
                                                done ->
                                                        mKept.set(
                                                                new Kept(
                                                                        slot,
                                                                        lease,
                                                                        nextRenewalNanos()))))
                .then();
    }

    private long nextRenewalNanos() {
        return mTicker.nowNanos() + KEEP_ALIVE_NANOS;
    }
}
