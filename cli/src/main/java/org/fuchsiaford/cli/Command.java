package org.fuchsiaford.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A command of the operators' command-line tool. Each instance is used for one run. */
interface Command {
    /** Returns the name of the command on the command line. */
    String name();

    /** Returns a one-line description for the help text. */
    String summary();

    /** Declares the options of the command. */
    void declareOptions(OptionParser parser);

    /**
     * Runs the command.
     *
     * @throws CommandException if the command fails
     */
    void run(OptionSet options, Output output) throws CommandException;
}
