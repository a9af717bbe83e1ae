package org.fuchsiaford.prompt;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a part of a prompt; requests whose prompts share a part state the same ID. Immutable.
 *
 * @param value a non-empty text without whitespace
 */
public record PromptPartId(@JsonValue String value) {
    /** Creates an ID; throws IllegalArgumentException if the value is null or empty. */
    @JsonCreator
    public PromptPartId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("prompt part ID must not be empty");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
