package org.fuchsiaford.request;

/**
 * Finds the boundaries between the events of a stream of server-sent events that arrives in pieces.
 * Lines end with LF, CR or CRLF; a line that begins with a colon is a comment and no part of an
 * event.
 *
 * <p>Invariant: memory use does not depend on the size of the stream. Not thread-safe.
 */
public final class SseEventScanner {
    private boolean mAtLineStart = true;
    private boolean mInComment;
    private boolean mFieldsPending;
    private boolean mAfterCarriageReturn;

    /**
     * Scans the next piece of the stream.
     *
     * @return the number of leading bytes of this piece that complete an event, with all events
     *     before it; zero if the piece contains no event boundary
     */
    public int scan(byte[] bytes) {
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            accept(bytes[i]);
            if (!isInsideEvent()) {
                end = i + 1;
            }
        }
        return end;
    }

    /** Returns whether the stream scanned so far ends with an incomplete event or line. */
    public boolean isInsideEvent() {
        return mFieldsPending || !mAtLineStart;
    }

    private void accept(byte character) {
        boolean endsCrLf = mAfterCarriageReturn && character == '\n';
        mAfterCarriageReturn = character == '\r';
        if (endsCrLf) {
            return;
        }
        if (character == '\n' || character == '\r') {
            endLine();
            return;
        }
        if (mAtLineStart) {
            mInComment = character == ':';
            mAtLineStart = false;
        }
    }

    private void endLine() {
        if (mAtLineStart) {
            mFieldsPending = false;
        } else if (!mInComment) {
            mFieldsPending = true;
        }
        mAtLineStart = true;
    }
}
