package org.fuchsiaford.entry.model;

/**
 * What a request has used so far. Thread-safe.
 *
 * <p>Invariant: zero until an engine has begun to compute.
 */
public final class TokenUsage {
    private int mPromptTokens;
    private int mCachedTokens;
    private int mCompletionTokens;

    /** Notes the prompt's length and how much of it was cached. */
    public synchronized void recordPrompt(int tokens, int cachedTokens) {
        mPromptTokens = Math.max(mPromptTokens, tokens);
        mCachedTokens = cachedTokens;
    }

    /** Notes the tokens passed on to the caller. */
    public synchronized void recordCompletion(int tokens) {
        mCompletionTokens = tokens;
    }

    /** Returns the prompt's length in tokens, or zero if no engine has told. */
    public synchronized int promptTokens() {
        return mPromptTokens;
    }

    /** Returns the prompt tokens that were cached. */
    public synchronized int cachedTokens() {
        return mCachedTokens;
    }

    /** Returns the tokens passed on to the caller. */
    public synchronized int completionTokens() {
        return mCompletionTokens;
    }

    /** Returns what the workspace pays, in tokens. */
    public synchronized long totalTokens() {
        return (long) mPromptTokens + mCompletionTokens;
    }
}
