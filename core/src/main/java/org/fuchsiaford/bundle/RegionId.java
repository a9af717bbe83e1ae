package org.fuchsiaford.bundle;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a region, which is a set of failure domains. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record RegionId(@JsonValue String value) implements Comparable<RegionId> {
    /** Creates an id; rejects an empty value. */
    @JsonCreator
    public RegionId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("RegionId is empty");
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
