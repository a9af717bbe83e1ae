package org.fuchsiaford.host;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The sequence number of a holder of a slot; it increases with each claim. Immutable.
 *
 * @param number the number, starting at 1
 */
public record Incarnation(@JsonValue long number) implements Comparable<Incarnation> {
    /** Creates an incarnation; throws IllegalArgumentException if the number is below 1. */
    @JsonCreator
    public Incarnation {
        if (number < 1) {
            throw new IllegalArgumentException("incarnation must be at least 1 but is " + number);
        }
    }

    /** Returns the incarnation of the next holder. */
    public Incarnation next() {
        return new Incarnation(number + 1);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(number, other.number);
    }
}
