package org.fuchsiaford.cli;

/** The failure of a command, with the exit code to report. Immutable. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ExitCode mExitCode;

    /** Creates an exception with an exit code and a message for the operator. */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        mExitCode = exitCode;
    }

    /** Returns the exit code. */
    public ExitCode exitCode() {
        return mExitCode;
    }
}
