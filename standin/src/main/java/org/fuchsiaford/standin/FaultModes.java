package org.fuchsiaford.standin;

import java.util.Locale;

/** Reads fault modes from requests to stand-ins. Stateless, hence thread-safe. */
public final class FaultModes {
    private FaultModes() {}

    /**
     * Reads a fault mode such as {@code lose-replies}.
     *
     * @throws IllegalArgumentException if there is no such mode
     */
    public static FaultMode parse(String text) {
        return FaultMode.valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
