package org.fuchsiaford.host;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an entry host process; a restarted process gets a new ID. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public HostId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("host ID must not be empty");
        }
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
