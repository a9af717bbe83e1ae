package org.fuchsiaford.request;

/**
 * Which tokens of an answer the caller has seen, over all the streams that produce it.
 *
 * <p>Invariant: every token index is passed on at most once and in order; a gap is never skipped.
 * Thread-safe.
 */
public final class OutputProgress {
    private int mNextIndex;

    /** What to do with a piece of an answer. */
    public enum Action {
        FORWARD,
        /** The caller has it already. */
        DUPLICATE,
        /** Tokens before it are missing or part of it is known, so the stream cannot be trusted. */
        GAP
    }

    /**
     * Decides on a piece of an answer.
     *
     * @param start the index of its first token in the whole answer, counted from zero
     * @param end the index after its last token
     */
    public synchronized Action accept(int start, int end) {
        if (end <= mNextIndex) {
            return Action.DUPLICATE;
        }
        if (start != mNextIndex) {
            return Action.GAP;
        }
        mNextIndex = end;
        return Action.FORWARD;
    }

    /** Returns how many tokens the caller has seen. */
    public synchronized int delivered() {
        return mNextIndex;
    }
}
