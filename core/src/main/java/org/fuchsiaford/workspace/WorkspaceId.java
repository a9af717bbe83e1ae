package org.fuchsiaford.workspace;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a workspace. Immutable.
 *
 * @param value a non-empty name without whitespace
 */
public record WorkspaceId(@JsonValue String value) implements Comparable<WorkspaceId> {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public WorkspaceId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("workspace ID must not be empty");
        }
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
