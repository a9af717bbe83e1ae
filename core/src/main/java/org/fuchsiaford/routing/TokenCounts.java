package org.fuchsiaford.routing;

/**
 * The size of a model request, in tokens. Immutable.
 *
 * @param promptTokens the length of the prompt
 * @param maxOutputTokens the maximum length of the output
 * @param declaredOutputTokens the length of the output that the client expects; an estimate that
 *     may exceed the maximum
 */
public record TokenCounts(long promptTokens, long maxOutputTokens, long declaredOutputTokens) {
    /** Ratio of maximum to average output length of requests without an estimate by the client. */
    private static final int DEFAULT_OUTPUT_DIVISOR = 2;

    /** Average share of its output that a running request holds in the KV cache, with a margin. */
    private static final double AVERAGE_OUTPUT_SHARE = 0.6;

    /** Creates the size of a request without an estimate by the client. */
    public TokenCounts(long promptTokens, long maxOutputTokens) {
        this(promptTokens, maxOutputTokens, maxOutputTokens / DEFAULT_OUTPUT_DIVISOR);
    }

    /** Returns the cost of the request against a rate limit, in tokens. */
    public long totalTokens() {
        return promptTokens + maxOutputTokens;
    }

    /** Returns the expected length of the output, in tokens. */
    public long expectedOutputTokens() {
        return Math.min(maxOutputTokens, declaredOutputTokens);
    }

    /**
     * Returns the KV cache to reserve for the request, in tokens. The average suffices, because an
     * engine runs about ten requests concurrently, so that estimation errors cancel out; in the
     * rare case that they do not, the engine preempts a request.
     */
    public long plannedKvTokens() {
        return promptTokens + (long) (expectedOutputTokens() * AVERAGE_OUTPUT_SHARE);
    }
}
