package org.fuchsiaford.request;

/**
 * Which tokens of an answer the caller has seen, over all the streams that produce it.
 *
 * <p>Invariant: every token index is passed on at most once and in order; a gap is never skipped.
 * Thread-safe.
 */
public final class AnswerProgress {
    private int mNextIndex;

    /** What to do with a piece of an answer. */
    public enum Verdict {
        PASS_ON,
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
    public synchronized Verdict accept(int start, int end) {
        if (end <= mNextIndex) {
            return Verdict.DUPLICATE;
        }
        if (start != mNextIndex) {
            return Verdict.GAP;
        }
        mNextIndex = end;
        return Verdict.PASS_ON;
    }

    /** Returns how many tokens the caller has seen. */
    public synchronized int delivered() {
        return mNextIndex;
    }
}
