package org.fuchsiaford.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events after its last whole event, so that a stream that breaks off
 * inside an event can go on elsewhere without a seam.
 *
 * <p>Invariant: what {@link #add} returns, joined, is a whole number of events. Not thread-safe.
 */
public final class SseEventBuffer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private String mLastId;

    /** Takes bytes in and returns the whole events that they complete, maybe none. */
    public byte[] add(byte[] bytes) {
        mPending.writeBytes(bytes);
        byte[] all = mPending.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        byte[] whole = java.util.Arrays.copyOf(all, end);
        mPending.reset();
        mPending.write(all, end, all.length - end);
        noteIds(whole);
        return whole;
    }

    /** Forgets the part of an event that has come; the next server begins with a whole one. */
    public void discardPartialEvent() {
        mPending.reset();
    }

    /** Returns the bytes after the last whole event, which a finished stream may end with. */
    public byte[] pendingBytes() {
        return mPending.toByteArray();
    }

    /** Returns the id of the last whole event. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(mLastId);
    }

    private static int endOfLastEvent(byte[] bytes) {
        for (int i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean afterCarriageReturn = bytes[i - 1] == '\r' && i > 1 && bytes[i - 2] == '\n';
            if (bytes[i - 1] == '\n' || afterCarriageReturn) {
                return i + 1;
            }
        }
        return 0;
    }

    private void noteIds(byte[] events) {
        new String(events, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).trim())
                .forEach(id -> mLastId = id);
    }
}
