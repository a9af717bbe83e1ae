package org.fuchsiaford.serverlimit;

/**
 * The requests that a run of a backend server may be sent by all hosts together. Immutable.
 *
 * @param requestsPerSecond infinite if it is not limited
 * @param remainingNanos how long the limit holds at most; {@link Long#MAX_VALUE} if it is not known
 * @param strict whether the sum over all hosts must hold within a second, also while hosts decide
 *     by themselves
 */
public record ServerRate(double requestsPerSecond, long remainingNanos, boolean strict) {
    /** No limit. */
    public static final ServerRate UNLIMITED =
            new ServerRate(Double.POSITIVE_INFINITY, Long.MAX_VALUE, false);

    /** Returns whether there is a limit. */
    public boolean isLimited() {
        return requestsPerSecond < Double.POSITIVE_INFINITY;
    }

    /** Returns the lower one of two limits, which is strict if any of them is. */
    ServerRate lowest(ServerRate other) {
        ServerRate lower = requestsPerSecond <= other.requestsPerSecond ? this : other;
        return new ServerRate(
                lower.requestsPerSecond, lower.remainingNanos, strict || other.strict);
    }
}
