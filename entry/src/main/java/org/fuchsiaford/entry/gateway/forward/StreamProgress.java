package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import org.fuchsiaford.entry.gateway.protocol.BodyFraming;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;
import org.fuchsiaford.request.SseEventBuffer;
import org.fuchsiaford.request.SseEventScanner;

/**
 * Tracks how much of a stream has been forwarded to the caller, over all attempts. Of a resumable
 * stream, only complete events are forwarded, so that another server can resume it. Not
 * thread-safe; the signals of one request arrive sequentially.
 */
final class StreamProgress {
    private static final int STATUS_OK = 200;

    private final SseEventBuffer mBuffer = new SseEventBuffer();
    private final SseEventScanner mScanner = new SseEventScanner();
    private final boolean mResumable;
    private final Optional<String> mCallerLastEventId;
    private BodyFraming mFraming = BodyFraming.CHUNKED;
    private boolean mHasEvents;
    private boolean mIsEmpty;
    private boolean mHeadForwarded;
    private boolean mIsStream;
    private boolean mExpectsEvent;

    StreamProgress(boolean resumable, Optional<String> callerLastEventId) {
        mResumable = resumable;
        mCallerLastEventId = callerLastEventId;
    }

    /** Prepares for the body of a server's response: events, or the report of an error. */
    void beginResponse(ResponseHead head) {
        mHasEvents = head.isEventStream();
        mFraming = head.framing();
        mIsEmpty = true;
        mBuffer.continueAfter(lastEventId());
    }

    /** Returns how the current response marks its end. */
    BodyFraming framing() {
        return mFraming;
    }

    boolean isHeadForwarded() {
        return mHeadForwarded;
    }

    void markHeadForwarded(ResponseHead head) {
        mHeadForwarded = true;
        mIsStream = isStream(head);
    }

    /** Returns whether another server can continue what was forwarded, without a duplicate. */
    boolean isContinuable() {
        return !mHeadForwarded || (mIsStream && mBuffer.sequence().isLastIdentified());
    }

    /** Returns whether a response with this head can be forwarded after what was forwarded. */
    boolean continuesWith(ResponseHead head) {
        return !mHeadForwarded || isStream(head);
    }

    private static boolean isStream(ResponseHead head) {
        return head.status() == STATUS_OK && head.isEventStream();
    }

    /** Appends received bytes and returns the bytes that can be forwarded now. */
    byte[] append(byte[] bytes) {
        mIsEmpty = false;
        if (mResumable && mHasEvents) {
            return mBuffer.add(bytes);
        }
        mScanner.scan(bytes);
        return bytes;
    }

    /**
     * Returns why the bytes appended last are no events that can be forwarded; empty if they are.
     */
    Optional<String> violation() {
        return mBuffer.sequence().violation();
    }

    /** Returns the size of the part of an event that is kept until the event is complete. */
    int partialEventBytes() {
        return mBuffer.pendingSize();
    }

    /** Returns whether the bytes appended so far end with an incomplete event. */
    boolean isInsideEvent() {
        return mHasEvents && (mResumable ? mBuffer.isInsideEvent() : mScanner.isInsideEvent());
    }

    /**
     * Returns whether the response that has just ended was broken off. The end of a connection does
     * not prove that an empty stream is complete, and a server that broke off inside an event
     * proves that there is one more.
     */
    boolean isTruncated() {
        boolean endedBeforeEvents =
                mHasEvents && mIsEmpty && mFraming == BodyFraming.CONNECTION_CLOSE;
        return endedBeforeEvents || isInsideEvent() || isEventMissing();
    }

    private boolean isEventMissing() {
        return mExpectsEvent && !mBuffer.sequence().hasEvents();
    }

    /** Returns the bytes that are left to forward at the end of a complete stream. */
    byte[] remainingBytes() {
        return mBuffer.pendingBytes();
    }

    /** Discards a partial event after the server has failed. */
    void discardPartialEvent() {
        mExpectsEvent = isEventMissing() || mBuffer.isInsideEvent();
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
