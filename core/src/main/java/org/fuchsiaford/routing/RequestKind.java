package org.fuchsiaford.routing;

/** Whether the requests of a route may be repeated and whether responses are streams. Immutable. */
public enum RequestKind {
    /** A request that may be executed more than once. */
    REPEATABLE(true, false),
    /** A request that must be executed at most once. */
    AT_MOST_ONCE(false, false),
    /** A request that is answered by an event stream and must be executed at most once. */
    STREAM(false, true),
    /**
     * A request that is answered by an event stream, which another backend server can resume after
     * the last complete event.
     */
    RESUMABLE_STREAM(true, true);

    private final boolean mRepeatable;
    private final boolean mStream;

    RequestKind(boolean repeatable, boolean stream) {
        mRepeatable = repeatable;
        mStream = stream;
    }

    /** Returns whether a request may be resent after it may have been executed. */
    public boolean isRepeatable() {
        return mRepeatable;
    }

    /** Returns whether the response is an event stream. */
    public boolean isStream() {
        return mStream;
    }
}
