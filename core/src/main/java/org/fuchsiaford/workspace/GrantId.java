package org.fuchsiaford.workspace;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a grant of tokens, so that a repeated message gives nothing twice. Immutable.
 *
 * @param value unique over all hosts
 */
public record GrantId(@JsonValue String value) {
    /** Creates an id. */
    @JsonCreator
    public GrantId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("GrantId is empty");
        }
    }
}
