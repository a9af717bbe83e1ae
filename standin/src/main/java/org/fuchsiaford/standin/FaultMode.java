package org.fuchsiaford.standin;

/** What a stand-in does wrong on purpose. */
public enum FaultMode {
    NONE,
    /** Answers every call with an error and does nothing. */
    DOWN,
    /** Accepts bytes and never answers, and does nothing. */
    SILENT,
    /** Does what it is asked and never answers. */
    LOSE_REPLIES,
    /** Does what it is asked and breaks the answer off. */
    BREAK_ANSWERS
}
