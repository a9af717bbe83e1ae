package org.fuchsiaford.host;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a slot for an entry host, as the bundle lists them. Immutable.
 *
 * @param value a non-empty name without white space
 */
public record SlotId(@JsonValue String value) implements Comparable<SlotId> {
    /** Creates an id. */
    @JsonCreator
    public SlotId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("SlotId is empty");
        }
    }

    @Override
    public int compareTo(SlotId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
