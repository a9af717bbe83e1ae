package org.fuchsiaford.failure;

/** Whether a refused request may have run. Immutable. */
public enum RunState {
    /** No backend server has run the request; this is certain. */
    NOT_RUN("not-run"),
    /** A backend server may have run the request. */
    UNKNOWN("unknown");

    private final String mWireName;

    RunState(String wireName) {
        mWireName = wireName;
    }

    /** Returns the value of the {@code run} field of a problem document. */
    public String wireName() {
        return mWireName;
    }
}
