package org.fuchsiaford.entry.service;

import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.request.IdempotencyRecord;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.store.StoreSnapshot;
import org.fuchsiaford.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Ensures that a request with an {@code Idempotency-Key} runs at most once, whichever hosts receive
 * it. The key is claimed in the store before the request is sent; while the store is unavailable,
 * such requests are refused.
 *
 * <p>Thread-safe.
 */
public final class IdempotencyGuard {
    private static final Logger LOG = Logger.getLogger(IdempotencyGuard.class);
    private static final long RECORD_TTL_SECONDS = TimeUnit.HOURS.toSeconds(25);
    private static final long SHARED_LEASE_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_STORED_BODY_BYTES = 256 * 1024;
    private static final int UPDATE_RETRIES = 3;

    private final Store mStore;
    private final RecordStore mRecords;
    private final Ticker mTicker;
    private final AtomicReference<SharedLease> mLease = new AtomicReference<>();

    /**
     * A store lease shared by the records of one hour, so that a record costs a single write. A
     * record thus expires after 24 to 25 hours.
     */
    private record SharedLease(StoreLeaseId id, long endNanos) {}

    /**
     * The result of a claim.
     *
     * @param key the store key of the record
     * @param record the record that made the claim, or that of the earlier run
     * @param earlierResponse the response of an earlier run, if there is one; the request must then
     *     not be sent
     */
    public record Claim(
            StoreKey key, IdempotencyRecord record, Optional<ServiceResponse> earlierResponse) {}

    /** Creates a guard. */
    public IdempotencyGuard(Store store, Ticker ticker) {
        mStore = store;
        mRecords = new RecordStore(store);
        mTicker = ticker;
    }

    /**
     * Claims the key of a request. Fails with {@link RefusalException} if the request may be
     * running, if the key was used for a different request, or if the store is unavailable.
     *
     * @param key the store key of the idempotency key
     * @param request the digest of the request
     */
    public Mono<Claim> claim(StoreKey key, Digest request) {
        return mStore.read(List.of(key))
                .flatMap(
                        snapshot ->
                                Mono.fromCallable(() -> find(snapshot, key))
                                        .flatMap(
                                                found ->
                                                        claim(
                                                                key,
                                                                request,
                                                                found,
                                                                snapshot.revisionOf(key))))
                .onErrorMap(StoreException.class, IdempotencyGuard::unavailable);
    }

    private static Optional<IdempotencyRecord> find(StoreSnapshot snapshot, StoreKey key)
            throws StoreException {
        return RecordStore.find(snapshot, key, IdempotencyRecord.class);
    }

    private Mono<Claim> claim(
            StoreKey key, Digest request, Optional<IdempotencyRecord> found, long revision) {
        if (found.isPresent() && !found.get().request().equals(request)) {
            return Mono.error(
                    RefusalException.notRun(
                            RefusalReason.IDEMPOTENCY_MISMATCH,
                            Step.CLAIM_IDEMPOTENCY_KEY,
                            "the Idempotency-Key was used for a different request"));
        }
        boolean claimable =
                found.filter(r -> r.state() != IdempotencyRecord.State.NOT_RUN).isEmpty();
        if (!claimable) {
            return claimExisting(key, found.get());
        }
        String claim = UUID.randomUUID().toString();
        IdempotencyRecord record = IdempotencyRecord.claimed(claim, request);
        return lease().flatMap(lease -> mRecords.compareAndSwap(key, revision, record, lease))
                .flatMap(
                        swap ->
                                swap == RecordStore.SwapResult.SWAPPED
                                        ? Mono.just(new Claim(key, record, Optional.empty()))
                                        : Mono.error(duplicate()));
    }

    private static Mono<Claim> claimExisting(StoreKey key, IdempotencyRecord record) {
        if (record.state() == IdempotencyRecord.State.CLAIMED) {
            return Mono.error(duplicate());
        }
        byte[] body = Base64.getDecoder().decode(record.body());
        ServiceResponse response = new ServiceResponse(record.status(), record.contentType(), body);
        return Mono.just(new Claim(key, record, Optional.of(response)));
    }

    private static RefusalException duplicate() {
        return new RefusalException(
                RefusalReason.DUPLICATE,
                RunState.UNKNOWN,
                RETRY_AFTER_MILLIS,
                Step.CLAIM_IDEMPOTENCY_KEY,
                RemoteName.STORE,
                "a request with this Idempotency-Key may be running or have run");
    }

    private static RefusalException unavailable(StoreException e) {
        return new RefusalException(
                RefusalReason.STORE_UNAVAILABLE,
                RunState.NOT_RUN,
                RETRY_AFTER_MILLIS,
                e.step(),
                e.remote(),
                "cannot claim the Idempotency-Key in the store");
    }

    private Mono<StoreLeaseId> lease() {
        SharedLease current = mLease.get();
        if (current != null && mTicker.nowNanos() - current.endNanos() < 0) {
            return Mono.just(current.id());
        }
        return mStore.grantLease(RECORD_TTL_SECONDS)
                .doOnNext(
                        id ->
                                mLease.set(
                                        new SharedLease(
                                                id, mTicker.nowNanos() + SHARED_LEASE_NANOS)));
    }

    /**
     * Stores the response for retries of the request. If the response is too large or cannot be
     * stored, retries are refused as duplicates whose outcome is unknown.
     */
    public Mono<Void> storeResponse(Claim claim, ServiceResponse response) {
        if (response.body().length > MAX_STORED_BODY_BYTES) {
            return Mono.empty();
        }
        String body = Base64.getEncoder().encodeToString(response.body());
        return replace(
                claim, claim.record().answered(response.status(), response.contentType(), body));
    }

    /** Releases the key of a request that was certainly not sent. */
    public Mono<Void> release(Claim claim) {
        return replace(claim, claim.record().notRun());
    }

    private Mono<Void> replace(Claim claim, IdempotencyRecord next) {
        return mStore.read(List.of(claim.key()))
                .filter(snapshot -> isOwnRecord(snapshot, claim))
                .flatMap(
                        snapshot ->
                                lease().flatMap(
                                                lease ->
                                                        mRecords.compareAndSwap(
                                                                claim.key(),
                                                                snapshot.revisionOf(claim.key()),
                                                                next,
                                                                lease)))
                .retry(UPDATE_RETRIES)
                .doOnError(
                        e -> LOG.warnf("cannot update the idempotency record: %s", e.getMessage()))
                .onErrorResume(e -> Mono.empty())
                .then();
    }

    private static boolean isOwnRecord(StoreSnapshot snapshot, Claim claim) {
        return snapshot.entry(claim.key())
                .filter(
                        entry ->
                                java.util.Arrays.equals(
                                        entry.value(), RecordStore.encode(claim.record())))
                .isPresent();
    }
}
