package org.fuchsiaford.standin.bench;

import org.fuchsiaford.backend.BackendServerId;

/** An attempt at a request, created at its placement. Not thread-safe; compared by identity. */
final class Attempt {
    private final RequestProgress mProgress;
    private final int mNumber;
    private final BackendServerId mPrefill;
    private final BackendServerId mDecode;
    private final int mPromptTokens;
    private int mComputedTokens;
    private boolean mEnded;

    Attempt(RequestProgress progress, int number, BackendServerId prefill, BackendServerId decode) {
        mProgress = progress;
        mNumber = number;
        mPrefill = prefill;
        mDecode = decode;
        mPromptTokens = progress.request().promptTokens() + progress.delivered();
    }

    RequestProgress progress() {
        return mProgress;
    }

    /** Returns the key of the attempt's KV cache blocks. */
    String key() {
        return mProgress.request().id() + "/" + mNumber;
    }

    BackendServerId prefill() {
        return mPrefill;
    }

    BackendServerId decode() {
        return mDecode;
    }

    /** Returns the length of the prompt, including tokens delivered by earlier attempts. */
    int promptTokens() {
        return mPromptTokens;
    }

    long[] prefixHashes() {
        return mProgress.request().prefixHashes();
    }

    /** Sets the number of prompt tokens that were not in the prefix cache. */
    void setComputedTokens(int tokens) {
        mComputedTokens = tokens;
    }

    int computedTokens() {
        return mComputedTokens;
    }

    /** Ends the attempt; returns false if it had already ended. */
    boolean end() {
        boolean ended = !mEnded;
        mEnded = true;
        return ended;
    }

    boolean isEnded() {
        return mEnded;
    }
}
