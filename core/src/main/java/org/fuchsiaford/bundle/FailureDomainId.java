package org.fuchsiaford.bundle;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a failure domain. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record FailureDomainId(@JsonValue String value) implements Comparable<FailureDomainId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public FailureDomainId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("failure domain ID must not be empty");
        }
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
