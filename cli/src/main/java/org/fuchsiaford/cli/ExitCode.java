package org.fuchsiaford.cli;

/** The exit codes of the operators' program. Immutable. */
public enum ExitCode {
    OK(0, "done"),
    FAILED(1, "not done, for a reason other than those below"),
    USAGE(2, "wrong arguments"),
    INVALID(3, "the bundle or a signature is wrong"),
    LOST_RACE(4, "another operator's roll came first"),
    NOT_ACCEPTED(5, "swapped, but not yet accepted; hosts go on with it by themselves"),
    UNKNOWN(6, "the store's answer was lost and could not be made certain");

    private final int mCode;
    private final String mMeaning;

    ExitCode(int code, String meaning) {
        mCode = code;
        mMeaning = meaning;
    }

    /** Returns the number given to the shell. */
    public int code() {
        return mCode;
    }

    /** Returns what it means. */
    public String meaning() {
        return mMeaning;
    }
}
