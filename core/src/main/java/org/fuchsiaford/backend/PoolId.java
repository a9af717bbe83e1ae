package org.fuchsiaford.backend;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a pool: the model engines on which one scheduler places requests. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record PoolId(@JsonValue String value) implements Comparable<PoolId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public PoolId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("pool ID must not be empty");
        }
    }

    @Override
    public int compareTo(PoolId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
