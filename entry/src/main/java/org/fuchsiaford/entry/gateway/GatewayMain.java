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

/** Runs a {@link GatewayHost} until the process is told to stop. Stateless, hence thread-safe. */
public final class GatewayMain {
    private GatewayMain() {}

    /**
     * Checks the settings and, unless that is all, runs the host.
     *
     * @param file where the settings lie, for reading them again
     * @param text their text
     * @throws SettingsException with every mistake
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
        HangupSignal.handle(() -> host.logReload(check(file, settings)));
        Daemon.run(host::start, host::stop);
    }

    /**
     * Runs two hosts for a moment, to write an archive of classes for faster starts.
     *
     * @param adapter the adapter's name
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

    /** Says whether the file on disk is usable; a running host keeps the settings it has. */
    private static String check(Path file, GatewaySettings settings) {
        try {
            GatewaySettings read = new GatewaySettingsReader().read(Files.readString(file));
            return read.equals(settings) ? "unchanged" : "changed; in force from the next start";
        } catch (SettingsException e) {
            return "wrong, the old ones stay: " + e.problems();
        } catch (IOException e) {
            return "cannot be read, the old ones stay: " + e.getMessage();
        }
    }
}
