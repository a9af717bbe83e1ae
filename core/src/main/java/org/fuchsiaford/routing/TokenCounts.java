package org.fuchsiaford.routing;

/**
 * The size of a model request. Immutable.
 *
 * @param prompt tokens of the prompt
 * @param maxAnswer most tokens of the answer
 */
public record TokenCounts(long prompt, long maxAnswer) {
    /** Returns what the request costs and the KV cache that it may need. */
    public long total() {
        return prompt + maxAnswer;
    }
}
