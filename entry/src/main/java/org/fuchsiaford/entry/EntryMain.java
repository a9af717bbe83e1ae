package org.fuchsiaford.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.fuchsiaford.entry.gateway.GatewayMain;
import org.fuchsiaford.entry.gateway.GatewaySettingsReader;
import org.fuchsiaford.entry.settings.EntrySettings;
import org.fuchsiaford.entry.settings.EntrySettingsReader;
import org.fuchsiaford.entry.settings.SettingsException;

/**
 * Command-line entry point of the daemon. Exit status: 0 after a graceful stop or a successful
 * {@code --check}, 1 if the host cannot start, 2 for invalid arguments, 3 for invalid settings.
 */
public final class EntryMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final String SETTINGS_ENV_VARIABLE = "FUCHSIAFORD_CONFIG";
    private static final List<String> OVERRIDES =
            List.of(
                    "callerAddress",
                    "peerAddress",
                    "adminAddress",
                    "failureDomain",
                    "hostListUrl",
                    "logLevel");

    private EntryMain() {}

    /** Runs the daemon until the process is terminated. */
    public static void main(String[] args) throws IOException, InterruptedException {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        OptionParser parser = new OptionParser();
        OptionSpec<String> settingsFile =
                parser.accepts("settings", "settings file, JSON with comments")
                        .withRequiredArg()
                        .describedAs("file");
        OptionSpec<Void> check = parser.accepts("check", "validate the settings and exit");
        OptionSpec<String> warmUp =
                parser.accepts(
                                "warm-up",
                                "run briefly on loopback to record classes for the CDS archive")
                        .withRequiredArg()
                        .describedAs("adapter");
        OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();
        OVERRIDES.forEach(
                field ->
                        parser.accepts(field, "overrides the setting of this name")
                                .withRequiredArg());
        try {
            OptionSet options = parser.parse(args);
            if (options.has(help)) {
                parser.printHelpOn(System.out);
                return;
            }
            if (options.has(warmUp)) {
                GatewayMain.warmUp(options.valueOf(warmUp));
                return;
            }
            Path file = settingsFile(options, settingsFile);
            String text = Files.readString(file);
            if (GatewaySettingsReader.isFor(text)) {
                GatewayMain.run(file, text, options.has(check));
            } else {
                run(read(options, text), options.has(check));
            }
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            parser.printHelpOn(System.err);
            System.exit(EXIT_USAGE);
        } catch (SettingsException e) {
            e.problems().forEach(problem -> System.err.println(problem));
            System.exit(EXIT_SETTINGS);
        } catch (IOException e) {
            System.err.println("cannot read the settings: " + e.getMessage());
            System.exit(EXIT_SETTINGS);
        }
    }

    private static Path settingsFile(OptionSet options, OptionSpec<String> option) {
        if (options.has(option)) {
            return Path.of(options.valueOf(option));
        }
        String variable = System.getenv(SETTINGS_ENV_VARIABLE);
        if (variable == null) {
            throw new IllegalArgumentException(
                    "--settings or the environment variable "
                            + SETTINGS_ENV_VARIABLE
                            + " is required");
        }
        return Path.of(variable);
    }

    private static EntrySettings read(OptionSet options, String text) throws SettingsException {
        Map<String, String> overrides =
                OVERRIDES.stream()
                        .filter(options::has)
                        .collect(Collectors.toMap(f -> f, f -> (String) options.valueOf(f)));
        return new EntrySettingsReader().read(text, overrides);
    }

    private static void run(EntrySettings settings, boolean checkOnly) throws InterruptedException {
        if (checkOnly) {
            System.out.println("settings are correct");
            return;
        }
        LogSetup.apply(settings);
        EntryHost host = new EntryHost(settings);
        Daemon.run(host::start, host::stop);
    }
}
