package org.fuchsiaford.standin.bench;

import org.fuchsiaford.backend.BackendServerId;

/** One attempt at a request, from its placement on. Not thread-safe; equality is identity. */
final class Attempt {
    private final RequestRun mRun;
    private final int mNumber;
    private final BackendServerId mPrefill;
    private final BackendServerId mDecode;
    private final int mPromptTokens;
    private int mComputedTokens;
    private boolean mOver;

    Attempt(RequestRun run, int number, BackendServerId prefill, BackendServerId decode) {
        mRun = run;
        mNumber = number;
        mPrefill = prefill;
        mDecode = decode;
        mPromptTokens = run.request().promptTokens() + run.delivered();
    }

    RequestRun run() {
        return mRun;
    }

    String key() {
        return mRun.request().id() + "/" + mNumber;
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
        return mRun.request().prefixHashes();
    }

    void setComputedTokens(int tokens) {
        mComputedTokens = tokens;
    }

    int computedTokens() {
        return mComputedTokens;
    }

    /** Ends the attempt; returns false if it had ended. */
    boolean end() {
        boolean first = !mOver;
        mOver = true;
        return first;
    }

    boolean isOver() {
        return mOver;
    }
}
