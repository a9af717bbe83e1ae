package org.fuchsiaford.routing;

/** What may be repeated of the requests on a route, and how their answers arrive. Immutable. */
public enum RequestKind {
    /** May run more than once. */
    REPEATABLE(true, false),
    /** May run at most once. */
    AT_MOST_ONCE(false, false),
    /** A stream of events that may run at most once. */
    STREAM(false, true),
    /** A stream of events that another backend server may continue after its last whole event. */
    RESUMABLE_STREAM(true, true);

    private final boolean mRepeatable;
    private final boolean mStream;

    RequestKind(boolean repeatable, boolean stream) {
        mRepeatable = repeatable;
        mStream = stream;
    }

    /** Returns whether a request may be sent again after it may have run. */
    public boolean isRepeatable() {
        return mRepeatable;
    }

    /** Returns whether the answer is a stream of events. */
    public boolean isStream() {
        return mStream;
    }
}
