package org.fuchsiaford.entry;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.fuchsiaford.entry.settings.EntrySettings;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;

/** Configures logging from the settings. Stateless, hence thread-safe. */
final class LogSetup {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p [%c{1}] %s%e%n";

    private LogSetup() {}

    static void apply(EntrySettings settings) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setFormatter(
                settings.logJson() ? new JsonFormatter() : new PatternFormatter(PATTERN));
        console.setLevel(Level.ALL);
        root.addHandler(console);
        root.setLevel(Level.INFO);
        Logger.getLogger("org.fuchsiaford").setLevel(level(settings.logLevel()));
    }

    private static Level level(String name) {
        return switch (name) {
            case "error" -> Level.SEVERE;
            case "warn" -> Level.WARNING;
            case "debug" -> Level.FINE;
            case "trace" -> Level.FINEST;
            default -> Level.INFO;
        };
    }
}
