package org.fuchsiaford.failure;

/** What a refusal says about whether the request ran. Immutable. */
public enum RunState {
    /** Certain: no backend server has acted on the request. */
    NOT_RUN("not-run"),
    /** A backend server may have acted on the request. */
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
