package org.fuchsiaford.store;

import java.util.List;
import java.util.OptionalLong;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A client of the platform's key-value service. Reads are linearizable.
 *
 * <p>Every publisher fails with {@link StoreException} if the service does not respond in time or
 * responds with an error; a write that failed this way may have taken effect.
 *
 * <p>Invariant: revisions rise over all eras of the service, see {@link StoreRevision}. A lease or
 * an expected revision of a former era counts as ended or changed, and a response from a former era
 * that arrives late is an error. Implementations are thread-safe.
 */
public interface Store {
    /** Returns the latest era that a response has named. */
    default long era() {
        return StoreRevision.FIRST_ERA;
    }

    /**
     * Returns when the service last served a call, on the monotonic clock; empty if it is not
     * known.
     */
    default OptionalLong lastResponseNanos() {
        return OptionalLong.empty();
    }

    /** Reads several keys in one consistent read. */
    Mono<StoreSnapshot> read(List<StoreKey> keys);

    /** Reads all keys with a prefix in one consistent read. */
    Mono<StoreSnapshot> readPrefix(StoreKey prefix);

    /**
     * Writes a key if its revision is still the expected one.
     *
     * @param expectedRevision the revision last read; {@link StoreEntry#ABSENT_REVISION} to create
     *     the key
     * @param lease the lease whose end deletes the key, or {@link StoreLeaseId#NONE}
     * @return whether the key was written
     */
    Mono<Boolean> compareAndSwap(
            StoreKey key, long expectedRevision, byte[] value, StoreLeaseId lease);

    /** Grants a lease with a time to live in seconds. */
    Mono<StoreLeaseId> grantLease(long timeToLiveSeconds);

    /** Renews a lease for its time to live; returns false if it has expired. */
    Mono<Boolean> keepAlive(StoreLeaseId lease);

    /** Revokes a lease and deletes its keys; it is no error if the lease has already expired. */
    Mono<Void> revokeLease(StoreLeaseId lease);

    /**
     * Watches all keys with a prefix for changes. Completes after some minutes; the caller then
     * reads the keys again and opens a new watch. Fails if a new era has begun since the first
     * revision.
     *
     * @param fromRevision the first revision to report
     */
    Flux<StoreChange> watch(StoreKey prefix, long fromRevision);
}
