package org.fuchsiaford.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Buffers a stream of server-sent events and releases only complete events, so that a stream that
 * breaks off inside an event can be resumed on another server without duplicate or partial events.
 *
 * <p>Invariant: the concatenated results of {@link #add} consist of complete events. Not
 * thread-safe.
 */
public final class SseEventBuffer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private SseEventScanner mScanner = new SseEventScanner();
    private String mLastEventId;

    /** Appends bytes and returns the events that are now complete; empty if there are none. */
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
        updateLastEventId(complete);
        return complete;
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
        return Optional.ofNullable(mLastEventId);
    }

    private void updateLastEventId(byte[] events) {
        new String(events, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).trim())
                .forEach(id -> mLastEventId = id);
    }
}
