package org.fuchsiaford.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
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
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private String mLastEventId;

    /** Appends bytes and returns the events that are now complete; empty if there are none. */
    public byte[] add(byte[] bytes) {
        mPending.writeBytes(bytes);
        byte[] all = mPending.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        byte[] complete = Arrays.copyOf(all, end);
        mPending.reset();
        mPending.write(all, end, all.length - end);
        updateLastEventId(complete);
        return complete;
    }

    /** Discards a partial event; the stream from the next server starts with a complete one. */
    public void discardPartialEvent() {
        mPending.reset();
    }

    /** Returns the bytes after the last complete event, which a finished stream may end with. */
    public byte[] pendingBytes() {
        return mPending.toByteArray();
    }

    /** Returns the ID of the last complete event that has an ID. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(mLastEventId);
    }

    private static int endOfLastEvent(byte[] bytes) {
        for (int i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean emptyCrLfLine = bytes[i - 1] == '\r' && i > 1 && bytes[i - 2] == '\n';
            if (bytes[i - 1] == '\n' || emptyCrLfLine) {
                return i + 1;
            }
        }
        return 0;
    }

    private void updateLastEventId(byte[] events) {
        new String(events, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).trim())
                .forEach(id -> mLastEventId = id);
    }
}
