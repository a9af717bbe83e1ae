package org.fuchsiaford.hostmemory;

/**
 * Estimates the memory that the head of a request takes. Answers heads of legal size made of very
 * many short lines, each of which is kept as several objects. Not thread-safe.
 */
public final class HeadCost {
    /** The objects of a request and its connection, without the lines of the head. */
    private static final long REQUEST_BYTES = 1_024;

    /**
     * The entry, name and value of a line in the headers of a request, and once more in those that
     * are sent to a server; 200 bytes each on a 64-bit JVM.
     */
    private static final long LINE_BYTES = 400;

    /** The text is kept in the headers, and once more while it is read or sent on. */
    private static final long TEXT_FACTOR = 2;

    private long mTextBytes;
    private long mLines;
    private boolean mLineEmpty = true;
    private boolean mEnded;

    /**
     * Adds a byte of the head; without effect after its end.
     *
     * @return whether the head goes on
     */
    public boolean add(byte value) {
        if (mEnded) {
            return false;
        }
        if (value == '\n') {
            mEnded = mLineEmpty && mLines > 0;
            mLines += mLineEmpty ? 0 : 1;
            mLineEmpty = true;
        } else if (value != '\r') {
            mTextBytes++;
            mLineEmpty = false;
        }
        return !mEnded;
    }

    /** Adds a whole line of the given size in bytes. */
    public void addLine(int textBytes) {
        mTextBytes += textBytes;
        mLines++;
    }

    /** Returns the estimate for what was added, in bytes; zero for nothing. */
    public long bytes() {
        boolean empty = mTextBytes == 0 && mLines == 0;
        return empty ? 0 : REQUEST_BYTES + TEXT_FACTOR * mTextBytes + LINE_BYTES * mLines;
    }

    /** Prepares for the next head. */
    public void reset() {
        mTextBytes = 0;
        mLines = 0;
        mLineEmpty = true;
        mEnded = false;
    }
}
