package org.fuchsiaford.standin.platform;

/** What a stand-in of a backend server does with the next requests. */
public enum ServerBehaviour {
    /** Runs and answers. */
    ANSWER,
    /** Says that it does not run the request. */
    REJECT,
    /** Runs, and answers with an error of its own. */
    ERROR,
    /** Runs, and closes the connection without an answer. */
    LOSE_ANSWER,
    /** Runs, and breaks its answer off in the middle. */
    BREAK_OFF,
    /** Runs, and falls silent in the middle of its answer. */
    STALL,
    /** Runs, and answers in the name of another request. */
    WRONG_REQUEST,
    /** Runs, and never answers. */
    HANG
}
