package org.fuchsiaford.request;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Checks that the events of a stream continue each other, also where another server continues it:
 * the first event of a continuation has the ID after the last one, and IDs increase. A block of
 * lines without data and with other fields than events have is no event, and the head of an HTTP
 * response is none.
 *
 * <p>Invariant: the ID of the last event refers to accepted events. Not thread-safe.
 */
public final class SseEventSequence {
    private static final String ID_FIELD = "id:";

    private static final Set<String> FIELDS = Set.of("data", "event", "retry", "id");

    /** IDs that are compared as numbers; they fit into a long. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

    /** How the head of a response begins, which may follow an event that was cut. */
    private static final String STATUS_LINE = "HTTP/";

    private String mLastEventId;
    private boolean mIsLastIdentified = true;
    private boolean mContinues;
    private boolean mHasEvents;
    private String mViolation;

    /** Prepares for the first events of a server that was asked to continue after an event. */
    public void continueAfter(Optional<String> eventId) {
        mLastEventId = eventId.orElse(mLastEventId);
        mContinues = eventId.isPresent();
        mHasEvents = false;
        mViolation = null;
    }

    /**
     * Accepts events.
     *
     * @param events complete events, with comments and empty lines between them
     * @return the number of leading bytes up to the first event that does not fit
     */
    public int accept(byte[] events) {
        int accepted = 0;
        int lineStart = 0;
        Event event = new Event();
        for (int i = 0; i < events.length; i++) {
            if (events[i] != '\n' && events[i] != '\r') {
                continue;
            }
            boolean isCrLf = events[i] == '\r' && i + 1 < events.length && events[i + 1] == '\n';
            String line = new String(events, lineStart, i - lineStart, StandardCharsets.UTF_8);
            i = isCrLf ? i + 1 : i;
            lineStart = i + 1;
            if (!line.isEmpty()) {
                event.add(line);
                continue;
            }
            if (!accept(event)) {
                return accepted;
            }
            accepted = lineStart;
            event = new Event();
        }
        return accept(event) ? events.length : accepted;
    }

    private boolean accept(Event event) {
        if (!event.mHasLines) {
            return true;
        }
        mViolation = violation(event);
        if (mViolation != null) {
            return false;
        }
        mHasEvents = true;
        mContinues = false;
        mIsLastIdentified = event.mId != null;
        mLastEventId = event.mId == null ? mLastEventId : event.mId;
        return true;
    }

    private String violation(Event event) {
        if (event.mHasStatusLine || (event.mHasUnknownFields && !event.mHasData)) {
            return "lines that are no event";
        }
        if (mContinues && !isNext(event.mId)) {
            return "event " + event.mId + " instead of the one after " + mLastEventId;
        }
        return isBefore(event.mId) ? "event " + event.mId + " after " + mLastEventId : null;
    }

    private boolean isNext(String id) {
        Optional<Long> last = number(mLastEventId);
        return last.isPresent()
                ? number(id).filter(n -> n == last.get() + 1).isPresent()
                : id != null && !id.equals(mLastEventId);
    }

    private boolean isBefore(String id) {
        return number(mLastEventId).flatMap(last -> number(id).filter(n -> n <= last)).isPresent();
    }

    private static Optional<Long> number(String id) {
        return Optional.ofNullable(id).filter(i -> i.matches("[0-9]{1,18}")).map(Long::parseLong);
    }

    /** Returns why the last call of {@link #accept(byte[])} did not accept all events. */
    public Optional<String> violation() {
        return Optional.ofNullable(mViolation);
    }

    /** Returns whether the current server has sent an event. */
    public boolean hasEvents() {
        return mHasEvents;
    }

    /** Returns whether the last event has an ID, so that another server can continue after it. */
    public boolean isLastIdentified() {
        return mIsLastIdentified;
    }

    /** Returns the ID of the last event that has an ID. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(mLastEventId);
    }

    /** The fields of an event. */
    private static final class Event {
        private boolean mHasLines;
        private boolean mHasData;
        private boolean mHasUnknownFields;
        private boolean mHasStatusLine;
        private String mId;

        void add(String line) {
            if (line.startsWith(":")) {
                return;
            }
            mHasLines = true;
            mHasStatusLine |= line.startsWith(STATUS_LINE);
            if (line.startsWith(ID_FIELD)) {
                String id = line.substring(ID_FIELD.length()).trim();
                mId = id.isEmpty() ? null : id;
                return;
            }
            String field = line.split(":", 2)[0];
            mHasData |= field.equals("data");
            mHasUnknownFields |= !FIELDS.contains(field);
        }
    }
}
