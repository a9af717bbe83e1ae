package org.fuchsiaford.entry.model;

/**
 * The tokens that a request has used so far.
 *
 * <p>Invariant: all counts are zero until a prefill has finished. Thread-safe.
 */
public final class TokenUsage {
    private int mPromptTokens;
    private int mCachedTokens;
    private int mCompletionTokens;

    /**
     * Records a finished prefill. The prompt token count never decreases.
     *
     * @param tokens the number of tokens in the prompt
     * @param cachedTokens how many of them were in the engine's prefix cache
     */
    public synchronized void recordPrefill(int tokens, int cachedTokens) {
        mPromptTokens = Math.max(mPromptTokens, tokens);
        mCachedTokens = cachedTokens;
    }

    /** Records the number of tokens delivered to the client. */
    public synchronized void recordCompletion(int tokens) {
        mCompletionTokens = tokens;
    }

    /** Returns the number of tokens in the prompt, or zero if no prefill has finished. */
    public synchronized int promptTokens() {
        return mPromptTokens;
    }

    /** Returns the number of prompt tokens that were in the engine's prefix cache. */
    public synchronized int cachedTokens() {
        return mCachedTokens;
    }

    /** Returns the number of tokens delivered to the client. */
    public synchronized int completionTokens() {
        return mCompletionTokens;
    }

    /** Returns the number of tokens that the workspace is charged for. */
    public synchronized long totalTokens() {
        return (long) mPromptTokens + mCompletionTokens;
    }
}
