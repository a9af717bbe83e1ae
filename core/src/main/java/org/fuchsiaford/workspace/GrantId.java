package org.fuchsiaford.workspace;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a grant of tokens, which makes grant and settle messages idempotent. Immutable.
 *
 * @param value an ID that is unique across all hosts
 */
public record GrantId(@JsonValue String value) {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public GrantId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("grant ID must not be empty");
        }
    }
}
