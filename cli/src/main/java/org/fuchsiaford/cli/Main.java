package org.fuchsiaford.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The operators' command-line tool. Its exit codes are those of {@link ExitCode}. */
public final class Main {
    private Main() {}

    /** Runs the command named by the first argument and exits. */
    public static void main(String[] args) throws IOException {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
        System.exit(run(args, System.out).code());
    }

    private static List<Command> commands() {
        return List.of(
                new CheckCommand(),
                new SignCommand(),
                new RollCommand(),
                new RollbackCommand(),
                new StatusCommand(),
                new KeysCommand(),
                new LoadCommand(),
                new ExplainCommand());
    }

    /** Runs a command and returns its exit code. */
    static ExitCode run(String[] args, PrintStream out) throws IOException {
        Optional<Command> command =
                commands().stream()
                        .filter(c -> args.length > 0 && c.name().equals(args[0]))
                        .findFirst();
        if (command.isEmpty()) {
            printHelp(out);
            boolean helpRequested = args.length > 0 && args[0].equals("--help");
            return helpRequested ? ExitCode.OK : ExitCode.USAGE;
        }
        return run(command.get(), Arrays.copyOfRange(args, 1, args.length), out);
    }

    private static ExitCode run(Command command, String[] args, PrintStream out)
            throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();
        OptionSpec<Void> json = parser.accepts("json", "print JSON, one object per line");
        command.declareOptions(parser);
        try {
            OptionSet options = parser.parse(args);
            if (options.has(help)) {
                out.println(command.summary());
                parser.printHelpOn(out);
                printExitCodes(out);
                return ExitCode.OK;
            }
            command.run(options, new Output(out, options.has(json)));
            return ExitCode.OK;
        } catch (OptionException e) {
            System.err.println(e.getMessage());
            parser.printHelpOn(System.err);
            return ExitCode.USAGE;
        } catch (CommandException e) {
            System.err.println(e.getMessage());
            return e.exitCode();
        }
    }

    private static void printHelp(PrintStream out) {
        out.println("fuchsiaford COMMAND [OPTIONS]; COMMAND --help prints the options");
        commands().forEach(c -> out.printf("  %-9s %s%n", c.name(), c.summary()));
        printExitCodes(out);
    }

    private static void printExitCodes(PrintStream out) {
        out.println("exit codes:");
        Arrays.stream(ExitCode.values())
                .forEach(code -> out.printf("  %d  %s%n", code.code(), code.description()));
    }
}
