package org.fuchsiaford.backend;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a model. Immutable.
 *
 * @param value a non-empty name without white space
 */
public record ModelId(@JsonValue String value) implements Comparable<ModelId> {
    /** Creates an id. */
    @JsonCreator
    public ModelId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("ModelId is empty");
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
