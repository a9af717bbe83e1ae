package org.fuchsiaford.host;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Counts the holders of a slot. A later holder has a higher number. Immutable.
 *
 * @param number one for the first holder
 */
public record Incarnation(@JsonValue long number) implements Comparable<Incarnation> {
    /** Creates an incarnation. */
    @JsonCreator
    public Incarnation {
        if (number < 1) {
            throw new IllegalArgumentException("incarnation " + number);
        }
    }

    /** Returns the incarnation that follows this one. */
    public Incarnation next() {
        return new Incarnation(number + 1);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(number, other.number);
    }
}
