package org.fuchsiaford.stream;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.HexFormat;
import java.util.Optional;
import org.fuchsiaford.hash.KeyedHash;
import org.fuchsiaford.hash.RendezvousHash;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.KeyHash;

/**
 * Identifies a stream over all attempts of its caller. It is a hash keyed by the caller, so that
 * naming the request of another caller identifies no stream. Immutable.
 *
 * @param value a non-empty text without whitespace
 */
public record StreamKey(@JsonValue String value) {
    /** With 8 bytes, two of a million streams are equal with a probability of 3e-8. */
    private static final int LENGTH_BYTES = 8;

    /** Leaves the bits that a double holds exactly. */
    private static final int FRACTION_SHIFT = 11;

    private static final double FRACTION_UNIT = 0x1p-53;

    /** Creates a key; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public StreamKey {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("stream key must not be empty");
        }
    }

    /**
     * Returns the key of a stream.
     *
     * @param caller the hash of the caller's key; empty for public access
     * @param target the host, path and query of the request
     * @param first the attempt that brought the first event
     */
    public static StreamKey of(Optional<KeyHash> caller, String target, RequestId first) {
        byte[] hash = KeyedHash.of(caller, target, first.value());
        return new StreamKey(HexFormat.of().formatHex(hash, 0, LENGTH_BYTES));
    }

    /**
     * Returns a number from 0 (inclusive) to 1 (exclusive) that is the same for the same stream.
     */
    public double toFraction() {
        return (RendezvousHash.hash(value) >>> FRACTION_SHIFT) * FRACTION_UNIT;
    }

    @Override
    public String toString() {
        return value;
    }
}
