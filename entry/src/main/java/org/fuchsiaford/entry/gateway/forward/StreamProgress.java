package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import org.fuchsiaford.request.SseEventBuffer;

/**
 * How much of a stream the caller has, over all attempts. Only whole events of a stream that may be
 * resumed are passed on, so that it can go on elsewhere. Not thread-safe; signals of one request
 * come one after another.
 */
final class StreamProgress {
    private final SseEventBuffer mSplitter = new SseEventBuffer();
    private final boolean mResumable;
    private final Optional<String> mCallersLastId;
    private boolean mHeadPassed;

    StreamProgress(boolean resumable, Optional<String> callersLastId) {
        mResumable = resumable;
        mCallersLastId = callersLastId;
    }

    boolean isHeadForwarded() {
        return mHeadPassed;
    }

    void markHeadForwarded() {
        mHeadPassed = true;
    }

    /** Returns what of the bytes that came can be passed on now. */
    byte[] append(byte[] bytes) {
        return mResumable ? mSplitter.add(bytes) : bytes;
    }

    /** Returns what is left at the end of a whole stream. */
    byte[] remainingBytes() {
        return mSplitter.pendingBytes();
    }

    /** Notes that the server broke off. */
    void discardPartialEvent() {
        mSplitter.discardPartialEvent();
    }

    /** Returns the event after which the stream goes on; none from the beginning. */
    Optional<String> lastEventId() {
        return mSplitter.lastEventId().or(() -> mCallersLastId);
    }
}
