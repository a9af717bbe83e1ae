package org.fuchsiaford.routing;

/**
 * The size of a model request. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens of the answer
 * @param declaredOutputTokens tokens of the answer that the caller expects; a guess
 */
public record TokenCounts(long promptTokens, long maxOutputTokens, long declaredOutputTokens) {
    /** Part of the most tokens that answers have on average if the caller expects nothing. */
    private static final int USUAL_ANSWER_DIVISOR = 2;

    /** Part of its answer that a run holds on average over its life, with a margin. */
    private static final double HELD_ANSWER_SHARE = 0.6;

    /** Creates a size without a guess of the caller's. */
    public TokenCounts(long promptTokens, long maxOutputTokens) {
        this(promptTokens, maxOutputTokens, maxOutputTokens / USUAL_ANSWER_DIVISOR);
    }

    /** Returns what the request costs of a limit. */
    public long totalTokens() {
        return promptTokens + maxOutputTokens;
    }

    /** Returns the tokens of the answer that are likely to come. */
    public long expectedOutputTokens() {
        return Math.min(maxOutputTokens, declaredOutputTokens);
    }

    /**
     * Returns the KV cache that is planned for the request. An engine runs about ten at a time, so
     * their guesses even out; it preempts one in the rare case that they do not.
     */
    public long plannedKvTokens() {
        return promptTokens + (long) (expectedOutputTokens() * HELD_ANSWER_SHARE);
    }
}
