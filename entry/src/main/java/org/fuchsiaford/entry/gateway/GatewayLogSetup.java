package org.fuchsiaford.entry.gateway;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;
import org.jboss.logmanager.handlers.ConsoleHandler.Target;

/**
 * Configures logging to standard output: decisions unchanged, since they are JSON already, and all
 * other messages as JSON. Stateless.
 */
final class GatewayLogSetup {
    private static final String MESSAGE_ONLY = "%m%n";

    private GatewayLogSetup() {}

    static void apply() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler others = new ConsoleHandler(Target.SYSTEM_OUT, new JsonFormatter());
        others.setLevel(Level.ALL);
        root.addHandler(others);
        root.setLevel(Level.WARNING);
        ConsoleHandler decisions =
                new ConsoleHandler(Target.SYSTEM_OUT, new PatternFormatter(MESSAGE_ONLY));
        Logger decisionLogger = Logger.getLogger("org.fuchsiaford.decisions");
        decisionLogger.setUseParentHandlers(false);
        decisionLogger.addHandler(decisions);
        decisionLogger.setLevel(Level.INFO);
    }
}
