package org.fuchsiaford.workspace;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a workspace. Immutable.
 *
 * @param value a non-empty name without white space
 */
public record WorkspaceId(@JsonValue String value) implements Comparable<WorkspaceId> {
    /** Creates an id. */
    @JsonCreator
    public WorkspaceId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("WorkspaceId is empty");
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
