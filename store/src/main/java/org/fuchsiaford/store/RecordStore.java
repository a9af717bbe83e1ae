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
 * Reads and writes typed records in the store as JSON, with a compare-and-swap whose outcome is
 * certain.
 *
 * <p>A response may be lost after its write has taken effect. After a failure the record is
 * therefore read again and compared. Each value that is written is unique to its writer, so equal
 * bytes prove that the write took effect. Thread-safe.
 */
public final class RecordStore {
    private static final int MAX_READ_RETRIES = 3;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final Store mStore;

    /** The certain outcome of a compare-and-swap. */
    public enum SwapResult {
        SWAPPED,
        /** Another write has changed the key first. */
        CONFLICT
    }

    /** Creates typed access to records in a store. */
    public RecordStore(Store store) {
        mStore = store;
    }

    /**
     * Writes a record if its revision is still the expected one.
     *
     * @return the outcome; fails with {@link StoreException} if it remains uncertain
     */
    public Mono<SwapResult> compareAndSwap(
            StoreKey key, long expectedRevision, Object value, StoreLeaseId lease) {
        byte[] bytes = encode(value);
        return mStore.compareAndSwap(key, expectedRevision, bytes, lease)
                .map(swapped -> swapped ? SwapResult.SWAPPED : SwapResult.CONFLICT)
                .flatMap(
                        result ->
                                result == SwapResult.SWAPPED
                                        ? Mono.just(result)
                                        : readAndCompare(key, bytes))
                .onErrorResume(
                        StoreException.class,
                        e -> resolveFailedSwap(key, expectedRevision, bytes, lease));
    }

    private Mono<SwapResult> resolveFailedSwap(
            StoreKey key, long expectedRevision, byte[] bytes, StoreLeaseId lease) {
        return mStore.read(List.of(key))
                .retry(MAX_READ_RETRIES)
                .flatMap(
                        snapshot -> {
                            if (hasValue(snapshot, key, bytes)) {
                                return Mono.just(SwapResult.SWAPPED);
                            }
                            if (snapshot.revisionOf(key) != expectedRevision) {
                                return Mono.just(SwapResult.CONFLICT);
                            }
                            // The first write may still be in flight, so only another swap is
                            // conclusive.
                            return mStore.compareAndSwap(key, expectedRevision, bytes, lease)
                                    .flatMap(
                                            done ->
                                                    done
                                                            ? Mono.just(SwapResult.SWAPPED)
                                                            : readAndCompare(key, bytes));
                        });
    }

    private Mono<SwapResult> readAndCompare(StoreKey key, byte[] bytes) {
        return mStore.read(List.of(key))
                .map(
                        snapshot ->
                                hasValue(snapshot, key, bytes)
                                        ? SwapResult.SWAPPED
                                        : SwapResult.CONFLICT);
    }

    private static boolean hasValue(StoreSnapshot snapshot, StoreKey key, byte[] bytes) {
        return snapshot.entry(key).filter(e -> Arrays.equals(e.value(), bytes)).isPresent();
    }

    /** Encodes a record as JSON. */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode record as JSON", e);
        }
    }

    /**
     * Decodes a record from JSON.
     *
     * @throws StoreException if the value cannot be decoded as this type
     */
    public static <T> T decode(byte[] value, Class<T> type) throws StoreException {
        try {
            return MAPPER.readValue(value, type);
        } catch (IOException e) {
            throw new StoreException(
                    Step.READ_STORE, "cannot decode record as " + type.getSimpleName(), e);
        }
    }

    /**
     * Reads a record from a snapshot.
     *
     * @return the record, or empty if the key does not exist
     * @throws StoreException if the value cannot be decoded as this type
     */
    public static <T> Optional<T> find(StoreSnapshot snapshot, StoreKey key, Class<T> type)
            throws StoreException {
        Optional<StoreEntry> entry = snapshot.entry(key);
        return entry.isEmpty() ? Optional.empty() : Optional.of(decode(entry.get().value(), type));
    }
}
