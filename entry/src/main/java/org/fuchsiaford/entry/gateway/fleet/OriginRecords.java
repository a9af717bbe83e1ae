package org.fuchsiaford.entry.gateway.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.stream.BegunStreams;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Stores where streams began, for hosts that have lost their memory. A record holds the streams of
 * a moment and ends with its lease, so that none has to be deleted.
 *
 * <p>Invariant: a stored record is never changed. Thread-safe.
 */
final class OriginRecords {
    /** Time for which records are written under the same lease. */
    private static final long LEASE_USE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Streams that wait for the store beyond this number are not stored. */
    private static final int MAX_UNSTORED_BATCHES = 1_000;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final TypeReference<List<BegunStreams>> BATCH = new TypeReference<>() {};

    private final Store mStore;
    private final HostId mSelf;
    private final LongSupplier mRetentionNanos;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final List<BegunStreams> mUnstored = new ArrayList<>();
    private StoreLeaseId mLease = StoreLeaseId.NONE;
    private long mLeaseUseUntilNanos;
    private long mNextNumber;
    private boolean mWriting;
    private boolean mFailing;

    /**
     * Creates the records of one host.
     *
     * @param retentionNanos for how long a stored stream can be taken up, in nanoseconds
     */
    OriginRecords(
            Store store, HostId self, LongSupplier retentionNanos, DecisionLog log, Ticker ticker) {
        mStore = store;
        mSelf = self;
        mRetentionNanos = retentionNanos;
        mLog = log;
        mTicker = ticker;
    }

    /** Adds streams to the next record. */
    synchronized void add(List<BegunStreams> begun) {
        if (mUnstored.size() < MAX_UNSTORED_BATCHES) {
            mUnstored.addAll(begun);
        }
    }

    /** Writes the next record, unless there is nothing to write or the last one is not written. */
    void flush() {
        List<BegunStreams> batch = takeUnstored();
        if (!batch.isEmpty()) {
            lease().flatMap(lease -> write(batch, lease))
                    .doFinally(signal -> endWrite())
                    .subscribe(written -> recordWritten(), e -> recordFailure(batch, e));
        }
    }

    private synchronized List<BegunStreams> takeUnstored() {
        if (mWriting || mUnstored.isEmpty()) {
            return List.of();
        }
        mWriting = true;
        List<BegunStreams> batch = List.copyOf(mUnstored);
        mUnstored.clear();
        return batch;
    }

    private synchronized void endWrite() {
        mWriting = false;
    }

    private Mono<StoreLeaseId> lease() {
        synchronized (this) {
            boolean usable =
                    !mLease.equals(StoreLeaseId.NONE)
                            && mTicker.nowNanos() - mLeaseUseUntilNanos < 0;
            if (usable) {
                return Mono.just(mLease);
            }
        }
        long lifeNanos = mRetentionNanos.getAsLong() + LEASE_USE_NANOS;
        return mStore.grantLease(TimeUnit.NANOSECONDS.toSeconds(lifeNanos))
                .doOnNext(this::useLease);
    }

    private synchronized void useLease(StoreLeaseId lease) {
        mLease = lease;
        mLeaseUseUntilNanos = mTicker.nowNanos() + LEASE_USE_NANOS;
    }

    private Mono<Boolean> write(List<BegunStreams> batch, StoreLeaseId lease) {
        return Mono.fromCallable(() -> encode(batch))
                .flatMap(
                        value ->
                                mStore.compareAndSwap(
                                        StoreKeys.streams(mSelf, nextNumber()),
                                        StoreEntry.ABSENT_REVISION,
                                        value,
                                        lease))
                .filter(written -> written)
                .switchIfEmpty(Mono.error(new IllegalStateException("the lease has ended")));
    }

    private synchronized long nextNumber() {
        return mNextNumber++;
    }

    private static byte[] encode(List<BegunStreams> batch) throws JsonProcessingException {
        return MAPPER.writeValueAsBytes(batch);
    }

    private synchronized void recordWritten() {
        mFailing = false;
    }

    /** Keeps the streams for the next record, which is written under a new lease. */
    private void recordFailure(List<BegunStreams> batch, Throwable cause) {
        boolean isFirst;
        synchronized (this) {
            isFirst = !mFailing;
            mFailing = true;
            mLease = StoreLeaseId.NONE;
        }
        add(batch);
        if (isFirst) {
            mLog.write(new Decision.OriginRecordsFailed("write", String.valueOf(cause)));
        }
    }

    /** Reads all records. */
    Mono<List<BegunStreams>> read() {
        return mStore.readPrefix(StoreKeys.STREAMS_PREFIX)
                .flatMapMany(snapshot -> Flux.fromIterable(snapshot.entries()))
                .concatMapIterable(this::decode)
                .collectList();
    }

    private List<BegunStreams> decode(StoreEntry entry) {
        try {
            return List.copyOf(MAPPER.readValue(entry.value(), BATCH));
        } catch (IOException | RuntimeException e) {
            // Entries of other writers may decode to anything.
            mLog.write(
                    new Decision.EntryUnreadable(
                            entry.key().value(), entry.revision(), e.getMessage()));
            return List.of();
        }
    }
}
