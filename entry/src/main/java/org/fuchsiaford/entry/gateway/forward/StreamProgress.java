package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import org.fuchsiaford.request.SseEventBuffer;

/**
 * Tracks how much of a stream has been forwarded to the caller, over all attempts. Of a resumable
 * stream, only complete events are forwarded, so that another server can resume it. Not
 * thread-safe; the signals of one request arrive sequentially.
 */
final class StreamProgress {
    private final SseEventBuffer mBuffer = new SseEventBuffer();
    private final boolean mResumable;
    private final Optional<String> mCallerLastEventId;
    private boolean mHeadForwarded;

    StreamProgress(boolean resumable, Optional<String> callerLastEventId) {
        mResumable = resumable;
        mCallerLastEventId = callerLastEventId;
    }

    boolean isHeadForwarded() {
        return mHeadForwarded;
    }

    void markHeadForwarded() {
        mHeadForwarded = true;
    }

    /** Appends received bytes and returns the bytes that can be forwarded now. */
    byte[] append(byte[] bytes) {
        return mResumable ? mBuffer.add(bytes) : bytes;
    }

    /** Returns the bytes that are left to forward at the end of a complete stream. */
    byte[] remainingBytes() {
        return mBuffer.pendingBytes();
    }

    /** Discards a partial event after the server has failed. */
    void discardPartialEvent() {
        mBuffer.discardPartialEvent();
    }

    /**
     * Returns the id of the event after which the stream is resumed; empty if it starts at the
     * beginning.
     */
    Optional<String> lastEventId() {
        return mBuffer.lastEventId().or(() -> mCallerLastEventId);
    }
}
