package org.fuchsiaford.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.failure.Step;
import reactor.core.publisher.Mono;

/**
 * Typed records in the store, in JSON, with a compare-and-swap whose outcome is certain.
 *
 * <p>A reply may be lost after its write took effect. So after a failure the record is read again
 * and compared; every record value is unique to its writer, hence equality proves the write.
 * Thread-safe.
 */
public final class RecordStore {
    private static final int MAX_REREADS = 3;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final Store mStore;

    /** The result of a compare-and-swap that is certain. */
    public enum SwapResult {
        SWAPPED,
        /** Another write came first. */
        CONFLICT
    }

    /** Creates typed access to a store. */
    public RecordStore(Store store) {
        mStore = store;
    }

    /**
     * Writes a record if its revision is still the expected one.
     *
     * @return the outcome; fails with {@link StoreException} if it cannot be made certain
     */
    public Mono<SwapResult> compareAndSwap(
            StoreKey key, long expectedRevision, Object value, StoreLeaseId lease) {
        byte[] bytes = encode(value);
        return mStore.compareAndSwap(key, expectedRevision, bytes, lease)
                .map(done -> done ? SwapResult.SWAPPED : SwapResult.CONFLICT)
                .flatMap(swap -> swap == SwapResult.SWAPPED ? Mono.just(swap) : compare(key, bytes))
                .onErrorResume(
                        StoreException.class,
                        e -> retryOrCompare(key, expectedRevision, bytes, lease));
    }

    private Mono<SwapResult> retryOrCompare(
            StoreKey key, long expectedRevision, byte[] bytes, StoreLeaseId lease) {
        return mStore.read(List.of(key))
                .retry(MAX_REREADS)
                .flatMap(
                        snapshot -> {
                            if (holds(snapshot, key, bytes)) {
                                return Mono.just(SwapResult.SWAPPED);
                            }
                            if (snapshot.revisionOf(key) != expectedRevision) {
                                return Mono.just(SwapResult.CONFLICT);
                            }
                            // The write may still be under way, so only another swap decides.
                            return mStore.compareAndSwap(key, expectedRevision, bytes, lease)
                                    .flatMap(
                                            done ->
                                                    done
                                                            ? Mono.just(SwapResult.SWAPPED)
                                                            : compare(key, bytes));
                        });
    }

    private Mono<SwapResult> compare(StoreKey key, byte[] bytes) {
        return mStore.read(List.of(key))
                .map(
                        snapshot ->
                                holds(snapshot, key, bytes)
                                        ? SwapResult.SWAPPED
                                        : SwapResult.CONFLICT);
    }

    private static boolean holds(StoreSnapshot snapshot, StoreKey key, byte[] bytes) {
        return snapshot.entry(key).filter(e -> Arrays.equals(e.value(), bytes)).isPresent();
    }

    /** Returns the JSON form of a record. */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("record cannot be written", e);
        }
    }

    /**
     * Reads a record from its JSON form.
     *
     * @throws StoreException if the value has another form
     */
    public static <T> T decode(byte[] value, Class<T> type) throws StoreException {
        try {
            return MAPPER.readValue(value, type);
        } catch (IOException e) {
            throw new StoreException(
                    Step.READ_STORE, "unreadable " + type.getSimpleName() + " record", e);
        }
    }

    /**
     * Reads a record from a snapshot.
     *
     * @return the record, or nothing if the key did not exist
     * @throws StoreException if the value has another form
     */
    public static <T> Optional<T> find(StoreSnapshot snapshot, StoreKey key, Class<T> type)
            throws StoreException {
        Optional<StoreEntry> entry = snapshot.entry(key);
        return entry.isEmpty() ? Optional.empty() : Optional.of(decode(entry.get().value(), type));
    }
}
