package org.fuchsiaford.attempt;

/** Why a failed request is not sent to another backend server. Immutable. */
public enum RetryObstacle {
    /** The kind of the request, or the servers that may have run it, allow no other attempt. */
    ATTEMPTS,

    /** Too little time is left until the deadline. */
    DEADLINE,

    /** The retry budget of the service is used up. */
    BUDGET
}
