package org.fuchsiaford.cli;

/** A command that ends with an exit code other than success. Immutable. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ExitCode mExitCode;

    /** Creates an error. */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        mExitCode = exitCode;
    }

    /** Returns the exit code. */
    public ExitCode exitCode() {
        return mExitCode;
    }
}
