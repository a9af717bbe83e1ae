package org.fuchsiaford.host;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of an entry host process; a restarted process has a new one. Immutable.
 *
 * @param value a non-empty name without white space
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Creates an id. */
    @JsonCreator
    public HostId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("HostId is empty");
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
