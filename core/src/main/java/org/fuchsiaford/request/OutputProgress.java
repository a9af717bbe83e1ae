package org.fuchsiaford.request;

/**
 * Tracks which output tokens of a request have been sent to the client, over all engine streams
 * that produce them.
 *
 * <p>Invariant: every token index is forwarded at most once and in order, without gaps.
 * Thread-safe.
 */
public final class OutputProgress {
    private int mNextIndex;

    /** The action to take on a chunk of output. */
    public enum Action {
        /** Send the chunk to the client. */
        FORWARD,
        /** Drop the chunk: the client has already received it. */
        DUPLICATE,
        /**
         * Fail the stream: tokens before the chunk are missing or the chunk overlaps delivered
         * tokens, so the stream is unreliable.
         */
        GAP
    }

    /**
     * Determines the action for a chunk of output and records the chunk if it is to be forwarded.
     *
     * @param start the zero-based index of the first token of the chunk in the whole output
     * @param end the index after the last token of the chunk
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

    /** Returns the number of tokens forwarded to the client. */
    public synchronized int delivered() {
        return mNextIndex;
    }
}
