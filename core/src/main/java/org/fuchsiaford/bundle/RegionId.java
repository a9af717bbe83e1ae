package org.fuchsiaford.bundle;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a region, which is a set of failure domains. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record RegionId(@JsonValue String value) implements Comparable<RegionId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public RegionId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("region ID must not be empty");
        }
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
