package org.fuchsiaford.request;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;

/**
 * Buffers a stream of server-sent events and releases only complete events, so that a stream that
 * breaks off inside an event can be resumed on another server without duplicate or partial events.
 *
 * <p>Invariant: the concatenated results of {@link #add} consist of complete events. Not
 * thread-safe.
 */
public final class SseEventBuffer {
    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private SseEventScanner mScanner = new SseEventScanner();
    private final SseEventSequence mSequence = new SseEventSequence();

    /** Prepares for the first events of a server that was asked to continue after an event. */
    public void continueAfter(Optional<String> eventId) {
        mSequence.continueAfter(eventId);
    }

    /** Returns the check of the events released so far. */
    public SseEventSequence sequence() {
        return mSequence;
    }

    /**
     * Appends bytes and returns the events that are now complete, up to the first one that does not
     * fit; empty if there are none.
     */
    public byte[] add(byte[] bytes) {
        int end = mScanner.scan(bytes);
        if (end == 0) {
            mPending.writeBytes(bytes);
            return new byte[0];
        }
        mPending.write(bytes, 0, end);
        byte[] complete = mPending.toByteArray();
        mPending.reset();
        mPending.write(bytes, end, bytes.length - end);
        int accepted = mSequence.accept(complete);
        return accepted == complete.length ? complete : Arrays.copyOf(complete, accepted);
    }

    /** Discards a partial event; the stream from the next server starts with a complete one. */
    public void discardPartialEvent() {
        mPending.reset();
        mScanner = new SseEventScanner();
    }

    /** Returns whether the bytes appended so far end with an incomplete event. */
    public boolean isInsideEvent() {
        return mScanner.isInsideEvent();
    }

    /** Returns the number of bytes after the last complete event. */
    public int pendingSize() {
        return mPending.size();
    }

    /** Returns the bytes after the last complete event, which a finished stream may end with. */
    public byte[] pendingBytes() {
        return mPending.toByteArray();
    }

    /** Returns the ID of the last complete event that has an ID. */
    public Optional<String> lastEventId() {
        return mSequence.lastEventId();
    }
}
