package org.fuchsiaford.request;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a request across all hops. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public RequestId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("request ID must not be empty");
        }
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
