package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** An entry host, started as a separate process with the command of the deploy file. */
final class EntryProcess {
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;

    private final Path mRoot;
    private final Path mFolder;
    private final String mName;
    private final String mZone;
    private final List<String> mAddresses = new ArrayList<>();
    private final List<ServerSocket> mReserved = new ArrayList<>();
    private Process mProcess;

    EntryProcess(Path root, Path folder, String name, String zone) {
        mRoot = root;
        mFolder = folder;
        mName = name;
        mZone = zone;
        reservePorts(5);
    }

    /** Reserves ports below those that the system gives to outgoing connections. */
    private void reservePorts(int count) {
        while (mReserved.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try {
                mReserved.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
                mAddresses.add("127.0.0.1:" + port);
            } catch (IOException e) {
                // The port is in use; another one is tried.
            }
        }
    }

    String name() {
        return mName;
    }

    String zone() {
        return mZone;
    }

    String callers() {
        return mAddresses.get(0);
    }

    String readiness() {
        return mAddresses.get(1);
    }

    String directory() {
        return mAddresses.get(2);
    }

    String peers() {
        return mAddresses.get(3);
    }

    long pid() {
        return mProcess.pid();
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    Path log() {
        return mFolder.resolve(mName + ".log");
    }

    void start(String storeAddress, List<String> seeds) throws IOException {
        Path settings = mFolder.resolve(mName + ".jsonc");
        Files.writeString(
                settings,
                Json.write(
                        Json.object(
                                "adapter", "platform",
                                "hostName", mName,
                                "failureDomain", mZone,
                                "processorShare", 0.75,
                                "processorCores", 1,
                                "callerAddress", callers(),
                                "readinessAddress", readiness(),
                                "directoryAddress", directory(),
                                "peerAddress", peers(),
                                "metricsAddress", mAddresses.get(4),
                                "seedPeers", seeds,
                                "storeAddress", storeAddress,
                                "registrationSeconds", 6,
                                "addressLifeSeconds", 1,
                                "graceSeconds", 8,
                                "retryWindowSeconds", 10,
                                "retryRatio", 0.2,
                                "retrySlack", 52,
                                "limitWindowSeconds", 8,
                                "orderLeaseSeconds", 3)));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(mRoot.toFile());
        builder.environment().put("FUCHSIAFORD_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        for (ServerSocket reserved : mReserved) {
            reserved.close();
        }
        mProcess = builder.start();
    }

    /** The words of the role's {@code run} in the deploy file. */
    private List<String> command() throws IOException {
        return Files.readAllLines(mRoot.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .findFirst()
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .map(words -> List.of(words.split(" ")))
                .orElseThrow(() -> new IOException("the deploy file has no command"));
    }

    void stop() throws InterruptedException {
        if (mProcess != null && mProcess.isAlive()) {
            mProcess.destroyForcibly();
            mProcess.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
