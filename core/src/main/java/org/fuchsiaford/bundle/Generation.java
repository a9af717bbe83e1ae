package org.fuchsiaford.bundle;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Counts the swaps of the head record. A rollback is a new generation that names an earlier bundle.
 * Immutable.
 *
 * @param number one for the first head; zero stands for "no bundle yet"
 */
public record Generation(@JsonValue long number) implements Comparable<Generation> {
    /** No bundle yet. */
    public static final Generation NONE = new Generation(0);

    /** Creates a generation. */
    @JsonCreator
    public Generation {
        if (number < 0) {
            throw new IllegalArgumentException("generation " + number);
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
