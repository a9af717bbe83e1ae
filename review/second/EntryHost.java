import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry host as a process of its own, started by the command of the deploy file with settings
 * from its template. As on the platform, a process that ends is started again a moment later.
 * Thread-safe.
 */
final class EntryHost {
    private static final long RESTART_DELAY_MILLIS = 1_000;
    private static final String STARTED = "\"started\"";

    final String name;
    final String zone;
    final int callerPort;
    final int readinessPort;
    final int directoryPort;
    final int peerPort;
    private final int mMetricsPort = Ports.free();
    private final int mStorePort;
    private final Path mFolder;
    private final Timeline mTimeline;
    private List<Integer> mSeedPorts = List.of();
    private Process mProcess;
    private boolean mStopped;
    private long mDisturbedNanos;
    private int mStarts;

    EntryHost(String name, String zone, int storePort, Path folder, Timeline timeline) {
        this.name = name;
        this.zone = zone;
        callerPort = Ports.free();
        readinessPort = Ports.free();
        directoryPort = Ports.free();
        peerPort = Ports.free();
        mStorePort = storePort;
        mFolder = folder;
        mTimeline = timeline;
    }

    void setSeeds(List<Integer> peerPorts) {
        mSeedPorts = peerPorts;
    }

    /** Starts the process, and again whenever it ends, until {@link #end}. */
    synchronized void start() throws IOException {
        Path settings = mFolder.resolve(name + ".jsonc");
        Files.writeString(settings, settings());
        mStarts++;
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(runLine().split(" ")));
        builder.environment().put("FUCHSIAFORD_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(name + ".log").toFile()));
        mProcess = builder.start();
        mDisturbedNanos = System.nanoTime();
        mTimeline.write("host %s starts, process %d", name, mProcess.pid());
        Process process = mProcess;
        process.onExit().thenAccept(ended -> restart(process));
    }

    private void restart(Process ended) {
        synchronized (this) {
            if (mStopped) {
                return;
            }
            mTimeline.write("host %s has ended with status %d", name, ended.exitValue());
        }
        try {
            Thread.sleep(RESTART_DELAY_MILLIS);
            synchronized (this) {
                if (!mStopped && ended == mProcess) {
                    start();
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the command of the deploy file. */
    private static String runLine() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("the deploy file has no command");
        }
        return run.group(1);
    }

    /** Fills in the template of the deploy file with the fields of a small installation. */
    private String settings() throws IOException {
        String template = Files.readString(Path.of("deploy/host.jsonc"));
        String seeds =
                String.join(",", mSeedPorts.stream().map(port -> quoted(address(port))).toList());
        String text =
                template.replace("{{#bounds.quotaWindowS}}", "")
                        .replace("{{/bounds.quotaWindowS}}", "")
                        .replace("{{nodeName|json}}", quoted(name))
                        .replace("{{zone|json}}", quoted(zone))
                        .replace("{{region|json}}", quoted(Site.REGION))
                        .replace("{{zones|json}}", Site.zonesJson())
                        .replace("{{limits.cpuShare|json}}", "0.75")
                        .replace("{{limits.cores|json}}", "1")
                        .replace("{{listen.frontend|json}}", quoted(address(callerPort)))
                        .replace("{{listen.readiness|json}}", quoted(address(readinessPort)))
                        .replace("{{listen.directory|json}}", quoted(address(directoryPort)))
                        .replace("{{listen.control|json}}", quoted(address(peerPort)))
                        .replace("{{ip}}:{{internalPorts.0}}", address(mMetricsPort))
                        .replace("{{seeds|json}}", "[" + seeds + "]")
                        .replace("{{platform.address|json}}", quoted(address(mStorePort)))
                        .replace("{{bounds.graceS|json}}", "8")
                        .replace("{{bounds.budgetWindowS|json}}", "10")
                        .replace("{{bounds.budgetRatio|json}}", "0.2")
                        .replace("{{bounds.budgetSlack|json}}", "52")
                        .replace("{{bounds.quotaWindowS|json}}", "8");
        if (text.contains("{{")) {
            throw new IllegalStateException("the template has other fields: " + text);
        }
        return text;
    }

    private static String address(int port) {
        return "127.0.0.1:" + port;
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }

    /** Returns whether the host says that it is ready. */
    boolean isReady() {
        return Call.send(readinessPort, "GET", "/api/readyz", java.util.Map.of("Host", "x"), "", 500)
                        .status
                == 200;
    }

    /** Sends SIGKILL. */
    synchronized void kill() {
        mTimeline.write("host %s gets SIGKILL", name);
        mDisturbedNanos = System.nanoTime();
        mProcess.destroyForcibly();
    }

    /** Sends SIGTERM. */
    synchronized void terminate() {
        mTimeline.write("host %s gets SIGTERM", name);
        mDisturbedNanos = System.nanoTime();
        mProcess.destroy();
    }

    /** Returns whether nothing was done to the process for {@code contactMs}. */
    synchronized boolean isInTouch() {
        return mProcess.isAlive() && System.nanoTime() - mDisturbedNanos >= Site.CONTACT_NANOS;
    }

    synchronized int starts() {
        return mStarts;
    }

    String log() {
        try {
            return Files.readString(mFolder.resolve(name + ".log"));
        } catch (IOException e) {
            return "";
        }
    }

    /** Ends the process for good. */
    void end() {
        Process process;
        synchronized (this) {
            mStopped = true;
            process = mProcess;
        }
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }
}
