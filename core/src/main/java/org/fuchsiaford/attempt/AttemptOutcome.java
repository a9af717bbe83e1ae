package org.fuchsiaford.attempt;

/** The outcome of sending a request to a backend server once. Immutable. */
public enum AttemptOutcome {
    /** No byte of the request was sent. */
    NOT_SENT(false),
    /** The server reported that it has not run the request and will not run it. */
    NOT_RUN(false),
    /** The address belongs to a different server, or to one with a different role; not run. */
    WRONG_SERVER(false),
    /** The request was sent, but no complete response arrived. */
    UNKNOWN(true),
    /** The server ran the request and returned a server error. */
    SERVER_ERROR(true),
    /** The server ran the request and returned a response. */
    ANSWERED(true);

    private final boolean mMayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /** Returns whether the server has run the request to the end of its response. */
    public boolean provesRun() {
        return this == SERVER_ERROR || this == ANSWERED;
    }

    /** Returns whether the server may have started to process the request. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}
