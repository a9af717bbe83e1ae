package org.fuchsiaford.routing;

/**
 * The rate limit of a workspace over all hosts together. Immutable.
 *
 * @param tokensPerSecond the rate in tokens per second; zero for no limit
 * @param burstTokens the burst size in tokens
 * @param defaultRequestTokens the cost of a request without token counts, in tokens
 */
public record TokenQuota(long tokensPerSecond, long burstTokens, long defaultRequestTokens) {
    /** Returns whether the rate is limited. */
    public boolean isLimited() {
        return tokensPerSecond > 0;
    }
}
