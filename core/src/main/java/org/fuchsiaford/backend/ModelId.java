package org.fuchsiaford.backend;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a model. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record ModelId(@JsonValue String value) implements Comparable<ModelId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public ModelId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("model ID must not be empty");
        }
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
