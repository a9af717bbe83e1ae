package org.fuchsiaford.routing;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * The rate limit of a workspace over all hosts together. Immutable.
 *
 * @param tokensPerSecond the rate in tokens per second; zero for no limit
 * @param burstTokens the burst size in tokens
 * @param defaultRequestTokens the cost of a request without token counts, in tokens
 */
public record TokenQuota(long tokensPerSecond, long burstTokens, long defaultRequestTokens) {
    /** Returns whether the rate is limited. */
    @JsonIgnore
    public boolean isLimited() {
        return tokensPerSecond > 0;
    }
}
