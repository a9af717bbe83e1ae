package org.fuchsiaford.attempt;

/** What to do with a request after an attempt. Immutable. */
public enum NextStep {
    /** Forward the server's response to the caller. */
    ANSWER,
    /** Send the request again, to the same or another backend server. */
    TRY_AGAIN,
    /** Reject the request; no server has run it. */
    REFUSE,
    /** Report to the caller that the outcome is unknown. */
    FAIL
}
