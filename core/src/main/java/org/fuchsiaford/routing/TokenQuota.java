package org.fuchsiaford.routing;

/**
 * The limit of a workspace over all hosts together. Immutable.
 *
 * @param tokensPerSecond the rate in tokens a second; zero for no limit
 * @param burstTokens the burst in tokens
 * @param defaultRequestTokens what a request without token counts costs
 */
public record TokenQuota(long tokensPerSecond, long burstTokens, long defaultRequestTokens) {
    /** Returns whether there is a limit at all. */
    public boolean isLimited() {
        return tokensPerSecond > 0;
    }
}
