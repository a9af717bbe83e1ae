package org.fuchsiaford.store;

import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The platform's key-value service. Reads are linearizable.
 *
 * <p>Every publisher fails with {@link StoreException} if the service does not answer in time; a
 * write that failed so may have taken effect. Implementations are thread-safe.
 */
public interface Store {
    /** Reads some keys in one consistent read. */
    Mono<StoreSnapshot> read(List<StoreKey> keys);

    /** Reads all keys that begin with a prefix in one consistent read. */
    Mono<StoreSnapshot> readPrefix(StoreKey prefix);

    /**
     * Writes a key if its revision is still the expected one.
     *
     * @param expectedRevision the revision read before; {@link StoreEntry#ABSENT_REVISION} to
     *     create the key
     * @param lease the lease whose end deletes the key, or {@link StoreLeaseId#NONE}
     * @return whether the write took place
     */
    Mono<Boolean> compareAndSwap(
            StoreKey key, long expectedRevision, byte[] value, StoreLeaseId lease);

    /** Grants a lease with a time to live in seconds. */
    Mono<StoreLeaseId> grantLease(long timeToLiveSeconds);

    /** Extends a lease by its time to live; returns false if it has ended. */
    Mono<Boolean> keepAlive(StoreLeaseId lease);

    /** Ends a lease, which deletes its keys; a lease that has ended already is no error. */
    Mono<Void> revokeLease(StoreLeaseId lease);

    /**
     * Reports the changes to all keys that begin with a prefix. Completes after some minutes; the
     * caller then reads and watches anew.
     *
     * @param fromRevision the first revision to report
     */
    Flux<StoreChange> watch(StoreKey prefix, long fromRevision);
}
