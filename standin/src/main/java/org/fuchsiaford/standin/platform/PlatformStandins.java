package org.fuchsiaford.standin.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import reactor.netty.DisposableServer;

/**
 * The stand-ins of the users' platform: a store that contains a declaration, and backend servers
 * that are registered in it. Not thread-safe.
 */
public final class PlatformStandins {
    private final PlatformStoreStandin mStore = new PlatformStoreStandin();

    /**
     * Starts the store and writes the declaration to it.
     *
     * @param port the port of the store on the loopback interface
     * @param declaration the file that contains the declaration
     * @throws IOException if the file cannot be read
     */
    public PlatformStandins(int port, Path declaration) throws IOException {
        mStore.start(port);
        mStore.put("op/config", Files.readString(declaration));
    }

    /**
     * Starts a backend server and registers it in the store.
     *
     * @param argument {@code ID=SERVICE=PORT} or {@code ID=SERVICE/STAGE=PORT}
     */
    public void addServer(String argument) {
        List<String> parts = List.of(argument.split("="));
        List<String> role = List.of(parts.get(1).split("/"));
        DisposableServer server =
                new PlatformServerStandin(parts.get(0)).start(Integer.parseInt(parts.get(2)));
        String stage = role.size() > 1 ? ",\"stage\":\"" + role.get(1) + "\"" : "";
        mStore.put(
                "servers/" + parts.get(0),
                """
                {"service":"%s","address":"127.0.0.1:%d","zone":"se-atl","version":"v1",
                 "slots":6,"state":"ready","coldRemainingMs":0,"seq":0,"born":1%s}
                """
                        .formatted(role.get(0), server.port(), stage));
    }
}
