package org.fuchsiaford.backend;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a service, either plain or run by model engines. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public ServiceId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("service ID must not be empty");
        }
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
