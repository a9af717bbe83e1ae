package org.fuchsiaford.bundle;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The generation number of the head record. A rollback creates a new generation that points to an
 * earlier bundle. Immutable.
 *
 * @param number one for the first head; zero if no bundle has been stored yet
 */
public record Generation(@JsonValue long number) implements Comparable<Generation> {
    /** The generation before the first bundle. */
    public static final Generation NONE = new Generation(0);

    /** Creates a generation from its number, which must not be negative. */
    @JsonCreator
    public Generation {
        if (number < 0) {
            throw new IllegalArgumentException("generation is negative: " + number);
        }
    }

    /** Returns the generation that follows this one. */
    public Generation next() {
        return new Generation(number + 1);
    }

    /** Returns whether this generation is older than the other. */
    public boolean isBefore(Generation other) {
        return number < other.number;
    }

    @Override
    public int compareTo(Generation other) {
        return Long.compare(number, other.number);
    }
}
