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
 * Lets a request with an {@code Idempotency-Key} run once, whichever hosts it comes through. The
 * claim is made in the store before sending; while the store cannot be had such requests are
 * refused, not run.
 *
 * <p>Thread-safe.
 */
public final class IdempotencyGuard {
    private static final Logger LOG = Logger.getLogger(IdempotencyGuard.class);
    private static final long RECORD_SECONDS = TimeUnit.HOURS.toSeconds(25);
    private static final long SHARED_LEASE_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final long RETRY_MILLIS = 1_000;
    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int ANSWER_RETRIES = 3;

    private final Store mStore;
    private final RecordStore mRecords;
    private final Ticker mTicker;
    private final AtomicReference<SharedLease> mLease = new AtomicReference<>();

    /** One lease serves the records of an hour, so that a record costs one write. */
    private record SharedLease(StoreLeaseId id, long endNanos) {}

    /**
     * The result of a claim.
     *
     * @param key where the record lies
     * @param record the record as claimed
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
     * Claims a request; fails with {@link RefusalException} if it may be running, if the key was
     * used for another request, or if the store cannot be had.
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
                            "the Idempotency-Key was used for another request"));
        }
        boolean free = found.filter(r -> r.state() != IdempotencyRecord.State.NOT_RUN).isEmpty();
        if (!free) {
            return earlier(key, found.get());
        }
        String claim = UUID.randomUUID().toString();
        IdempotencyRecord record = IdempotencyRecord.claimed(claim, request);
        return lease().flatMap(lease -> mRecords.compareAndSwap(key, revision, record, lease))
                .flatMap(
                        swap ->
                                swap == RecordStore.SwapResult.SWAPPED
                                        ? Mono.just(new Claim(key, record, Optional.empty()))
                                        : Mono.error(running()));
    }

    private static Mono<Claim> earlier(StoreKey key, IdempotencyRecord record) {
        if (record.state() == IdempotencyRecord.State.CLAIMED) {
            return Mono.error(running());
        }
        byte[] body = Base64.getDecoder().decode(record.body());
        ServiceResponse answer = new ServiceResponse(record.status(), record.contentType(), body);
        return Mono.just(new Claim(key, record, Optional.of(answer)));
    }

    private static RefusalException running() {
        return new RefusalException(
                RefusalReason.DUPLICATE,
                RunState.UNKNOWN,
                RETRY_MILLIS,
                Step.CLAIM_IDEMPOTENCY_KEY,
                RemoteName.STORE,
                "a request with this Idempotency-Key may be running or have run");
    }

    private static RefusalException unavailable(StoreException e) {
        return new RefusalException(
                RefusalReason.STORE_UNAVAILABLE,
                RunState.NOT_RUN,
                RETRY_MILLIS,
                e.step(),
                e.remote(),
                "the Idempotency-Key cannot be claimed now");
    }

    private Mono<StoreLeaseId> lease() {
        SharedLease present = mLease.get();
        if (present != null && mTicker.nowNanos() - present.endNanos() < 0) {
            return Mono.just(present.id());
        }
        return mStore.grantLease(RECORD_SECONDS)
                .doOnNext(
                        id ->
                                mLease.set(
                                        new SharedLease(
                                                id, mTicker.nowNanos() + SHARED_LEASE_NANOS)));
    }

    /**
     * Keeps the answer for repeats; if that fails, repeats are told that the outcome is unknown.
     */
    public Mono<Void> storeResponse(Claim claim, ServiceResponse answer) {
        if (answer.body().length > MAX_BODY_BYTES) {
            return Mono.empty();
        }
        String body = Base64.getEncoder().encodeToString(answer.body());
        return replace(claim, claim.record().answered(answer.status(), answer.contentType(), body));
    }

    /** Frees the key of a request that certainly was not sent. */
    public Mono<Void> release(Claim claim) {
        return replace(claim, claim.record().notRun());
    }

    private Mono<Void> replace(Claim claim, IdempotencyRecord next) {
        return mStore.read(List.of(claim.key()))
                .filter(snapshot -> isOwn(snapshot, claim))
                .flatMap(
                        snapshot ->
                                lease().flatMap(
                                                lease ->
                                                        mRecords.compareAndSwap(
                                                                claim.key(),
                                                                snapshot.revisionOf(claim.key()),
                                                                next,
                                                                lease)))
                .retry(ANSWER_RETRIES)
                .doOnError(e -> LOG.warnf("idempotency record not updated: %s", e.getMessage()))
                .onErrorResume(e -> Mono.empty())
                .then();
    }

    private static boolean isOwn(StoreSnapshot snapshot, Claim claim) {
        return snapshot.entry(claim.key())
                .filter(
                        entry ->
                                java.util.Arrays.equals(
                                        entry.value(), RecordStore.encode(claim.record())))
                .isPresent();
    }
}
