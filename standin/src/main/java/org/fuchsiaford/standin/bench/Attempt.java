package org.fuchsiaford.standin.bench;

import org.fuchsiaford.backend.BackendServerId;

/** One attempt at a request, from its placement on. Not thread-safe; equality is identity. */
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

    String key() {
        return mProgress.request().id() + "/" + mNumber;
    }

    BackendServerId prefill() {
        return mPrefill;
    }

    BackendServerId decode() {
        return mDecode;
    }

    int promptTokens() {
        return mPromptTokens;
    }

    long[] prefixHashes() {
        return mProgress.request().prefixHashes();
    }

    void setComputedTokens(int tokens) {
        mComputedTokens = tokens;
    }

    int computedTokens() {
        return mComputedTokens;
    }

    /** Ends the attempt; returns false if it had ended. */
    boolean end() {
        boolean first = !mEnded;
        mEnded = true;
        return first;
    }

    boolean isEnded() {
        return mEnded;
    }
}
