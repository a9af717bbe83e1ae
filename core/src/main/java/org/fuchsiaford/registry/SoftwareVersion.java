package org.fuchsiaford.registry;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The version of the software that a run of a backend server executes. Output of different versions
 * of a service must not be combined. Immutable.
 *
 * @param value a non-empty name
 */
public record SoftwareVersion(@JsonValue String value) implements Comparable<SoftwareVersion> {
    /** Creates a version; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public SoftwareVersion {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("software version must not be empty");
        }
    }

    @Override
    public int compareTo(SoftwareVersion other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
