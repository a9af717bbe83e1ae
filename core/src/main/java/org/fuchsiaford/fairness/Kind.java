package org.fuchsiaford.fairness;

/**
 * Requests that are served alike: those of one route and priority. Immutable.
 *
 * @param route the name of the route; empty if unknown
 * @param priority the priority; zero is the most urgent
 */
public record Kind(String route, int priority) {
    /**
     * How many times as often the most urgent kind is served as the least urgent one, at most. With
     * 3, no kind falls under a third of the mean; the bound required is a quarter.
     */
    private static final double MAX_URGENCY = 3;

    /** Returns how often the kind is served relative to the least urgent kind, from 1 up. */
    double urgency() {
        return 1 + (MAX_URGENCY - 1) / (1.0 + Math.max(0, priority));
    }
}
