package org.fuchsiaford.host;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a slot that an entry host can hold. The bundle lists the slots. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record SlotId(@JsonValue String value) implements Comparable<SlotId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public SlotId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("slot ID must not be empty");
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
