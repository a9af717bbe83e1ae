package org.fuchsiaford.attempt;

/** What follows an attempt. Immutable. */
public enum NextStep {
    /** Pass the server's answer on. */
    ANSWER,
    /** Send the request to a backend server again. */
    TRY_AGAIN,
    /** Refuse the request, which has not run. */
    REFUSE,
    /** Answer that the outcome is not known. */
    FAIL
}
