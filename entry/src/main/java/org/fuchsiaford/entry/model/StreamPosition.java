package org.fuchsiaford.entry.model;

/** How far one engine's stream has come, in tokens of the whole answer. Not thread-safe. */
final class StreamPosition {
    private final int mStart;
    private int mIndex;

    StreamPosition(int start) {
        mStart = start;
        mIndex = start;
    }

    /** Returns the index of the next token. */
    int nextIndex() {
        return mIndex;
    }

    /** Moves on; returns the index after the last token. */
    int advanceTo(int completionTokens) {
        mIndex = mStart + completionTokens;
        return mIndex;
    }
}
