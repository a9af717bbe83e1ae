package org.fuchsiaford.entry.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import org.fuchsiaford.entry.Daemon;
import org.fuchsiaford.entry.gateway.protocol.Adapter;
import org.fuchsiaford.entry.settings.SettingsException;
import org.fuchsiaford.json.JsonProblem;

/**
 * Runs a {@link GatewayHost} until the process receives a stop signal. Stateless, hence
 * thread-safe.
 */
public final class GatewayMain {
    private GatewayMain() {}

    /**
     * Checks the settings and, unless only the check is requested, runs the host.
     *
     * @param file the settings file, read again on SIGHUP
     * @param text the contents of the file
     * @param checkOnly whether to return after the check
     * @throws SettingsException if the settings are invalid; reports all problems
     */
    public static void run(Path file, String text, boolean checkOnly)
            throws SettingsException, InterruptedException {
        GatewaySettings settings = new GatewaySettingsReader().read(text);
        Adapter adapter = adapter(settings.adapter());
        if (checkOnly) {
            System.out.println("settings are correct");
            return;
        }
        GatewayLogSetup.apply();
        GatewayHost host = new GatewayHost(settings, adapter);
        HangupSignal.handle(() -> host.logReload(checkFile(file, settings)));
        Daemon.run(host::start, host::stop);
    }

    /**
     * Runs two hosts briefly so that the runtime can write a class archive for faster startup.
     * Exits the process.
     *
     * @param adapter the name of the adapter
     */
    public static void warmUp(String adapter) throws IOException, SettingsException {
        GatewayLogSetup.apply();
        WarmUp.run(adapter(adapter));
        System.exit(0);
    }

    private static Adapter adapter(String name) throws SettingsException {
        return ServiceLoader.load(Adapter.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(adapter -> adapter.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new SettingsException(
                                        List.of(
                                                new JsonProblem(
                                                        "$.adapter", "no adapter has this name"))));
    }

    /** Describes whether the settings file is valid; a running host keeps its current settings. */
    private static String checkFile(Path file, GatewaySettings settings) {
        try {
            GatewaySettings updated = new GatewaySettingsReader().read(Files.readString(file));
            return updated.equals(settings)
                    ? "unchanged"
                    : "changed; takes effect at the next start";
        } catch (SettingsException e) {
            return "invalid, keeping the current settings: " + e.problems();
        } catch (IOException e) {
            return "cannot be read, keeping the current settings: " + e.getMessage();
        }
    }
}
