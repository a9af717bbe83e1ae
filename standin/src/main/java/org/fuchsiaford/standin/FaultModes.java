package org.fuchsiaford.standin;

import java.util.Locale;

/** Parses the fault modes in requests to stand-ins. Thread-safe. */
public final class FaultModes {
    private FaultModes() {}

    /**
     * Parses a fault mode in lower case with hyphens, such as {@code lose-replies}.
     *
     * @throws IllegalArgumentException if the mode is unknown
     */
    public static FaultMode parse(String text) {
        return FaultMode.valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
