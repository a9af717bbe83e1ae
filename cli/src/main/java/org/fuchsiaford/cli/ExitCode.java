package org.fuchsiaford.cli;

/** The exit codes of the operators' command-line tool. Immutable. */
public enum ExitCode {
    OK(0, "done"),
    FAILED(1, "failed for a reason other than those below"),
    USAGE(2, "invalid arguments"),
    INVALID(3, "the bundle or a signature is invalid"),
    LOST_RACE(4, "another operator rolled out a bundle first"),
    NOT_ACCEPTED(
            5,
            "a rollout, this or an earlier one, is not yet accepted; hosts continue it without this"
                    + " command"),
    UNKNOWN(6, "a response of the store was lost and the outcome could not be determined");

    private final int mCode;
    private final String mDescription;

    ExitCode(int code, String description) {
        mCode = code;
        mDescription = description;
    }

    /** Returns the exit code as a number. */
    public int code() {
        return mCode;
    }

    /** Returns a description for the help text. */
    public String description() {
        return mDescription;
    }
}
