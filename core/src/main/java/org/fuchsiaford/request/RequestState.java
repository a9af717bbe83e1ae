package org.fuchsiaford.request;

/** The states of a request, in order. Immutable. */
public enum RequestState {
    /** Read from the caller. */
    RECEIVED,
    /** Charged to its workspace. */
    ADMITTED,
    /** Given a backend server. */
    PLACED,
    /** Perhaps seen by a backend server. */
    SENT,
    /** Answered to the caller, by an answer or a refusal. */
    ANSWERED
}
