package org.fuchsiaford.backend;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a backend server. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record BackendServerId(@JsonValue String value) implements Comparable<BackendServerId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public BackendServerId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("backend server ID must not be empty");
        }
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
