package org.fuchsiaford.request;

/** The states of a request, in lifecycle order. Immutable. */
public enum RequestState {
    /** Received from the client. */
    RECEIVED,
    /** Charged to the quota of its workspace. */
    ADMITTED,
    /** Assigned to a backend server. */
    PLACED,
    /** Sent to a backend server, which may have received it. */
    SENT,
    /** Answered to the client, with a response or an error. */
    ANSWERED
}
