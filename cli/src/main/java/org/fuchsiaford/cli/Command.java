package org.fuchsiaford.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One command of the operators' program. Implementations are used once. */
interface Command {
    /** Returns the word that selects the command. */
    String name();

    /** Returns one line that says what the command does. */
    String summary();

    /** Declares the command's options. */
    void declareOptions(OptionParser parser);

    /**
     * Runs the command.
     *
     * @throws CommandException if it does not succeed
     */
    void run(OptionSet options, Output output) throws CommandException;
}
