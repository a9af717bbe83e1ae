package org.fuchsiaford.standin;

/** The fault that a stand-in simulates. */
public enum FaultMode {
    NONE,
    /** Rejects every call with an error and does not execute it. */
    DOWN,
    /** Accepts connections but never responds and does not execute calls. */
    SILENT,
    /** Executes calls but never responds. */
    LOSE_REPLIES,
    /** Executes calls but closes the connection before the response is complete. */
    BREAK_ANSWERS
}
