package org.fuchsiaford.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.fuchsiaford.standin.engine.EngineProfile;
import org.fuchsiaford.standin.engine.EngineStandin;
import org.fuchsiaford.standin.hostlist.HostListStandin;
import org.fuchsiaford.standin.platform.PlatformStandins;
import org.fuchsiaford.standin.service.ServiceStandin;
import org.fuchsiaford.standin.store.StoreStandin;

/**
 * Runs stand-ins until the process is killed, for example {@code --store 9001 --engine p1=9101
 * --service app1=9201 --host-list 9002}, or stand-ins of the users' platform, for example {@code
 * --platform-store 9001 --declaration FILE --platform-server e1=llm/decode=9101}. Options may be
 * repeated, except for {@code --platform-store} and {@code --declaration}.
 */
public final class StandinMain {
    private static final int EXIT_USAGE = 2;

    private StandinMain() {}

    /** Starts the stand-ins given by the arguments. */
    public static void main(String[] args) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> store = parser.accepts("store").withRequiredArg().ofType(Integer.class);
        OptionSpec<Integer> list =
                parser.accepts("host-list").withRequiredArg().ofType(Integer.class);
        OptionSpec<String> engine = parser.accepts("engine").withRequiredArg();
        OptionSpec<String> service = parser.accepts("service").withRequiredArg();
        OptionSpec<Integer> platformStore =
                parser.accepts("platform-store").withRequiredArg().ofType(Integer.class);
        OptionSpec<String> declaration = parser.accepts("declaration").withRequiredArg();
        OptionSpec<String> platformServer = parser.accepts("platform-server").withRequiredArg();
        try {
            OptionSet options = parser.parse(args);
            options.valuesOf(store).forEach(port -> new StoreStandin().start(port));
            options.valuesOf(list).forEach(port -> new HostListStandin().start(port));
            options.valuesOf(engine).forEach(StandinMain::startEngine);
            options.valuesOf(service).forEach(StandinMain::startService);
            if (options.has(platformStore)) {
                PlatformStandins platform =
                        new PlatformStandins(
                                options.valueOf(platformStore),
                                Path.of(options.valueOf(declaration)));
                options.valuesOf(platformServer).forEach(platform::addServer);
            }
        } catch (OptionException e) {
            System.err.println(e.getMessage());
            parser.printHelpOn(System.err);
            System.exit(EXIT_USAGE);
        }
        Thread.currentThread().join();
    }

    private static void startEngine(String argument) {
        List<String> parts = List.of(argument.split("="));
        new EngineStandin(parts.get(0), EngineProfile.STANDARD)
                .start(Integer.parseInt(parts.get(1)));
    }

    private static void startService(String argument) {
        List<String> parts = List.of(argument.split("="));
        new ServiceStandin(parts.get(0)).start(Integer.parseInt(parts.get(1)));
    }
}
