import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fuchsiaford.standin.platform.PlatformStoreStandin;
import reactor.netty.DisposableServer;

/** The platform's store, the workers of one plain service and the entry hosts of a small site. */
final class Deployment implements AutoCloseable {
    /** The exit status if the rule was broken; an uncaught exception has status 1. */
    static final int BROKEN = 10;

    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private static final double READY_SECONDS = 30;
    private static final long SETTLE_MILLIS = 4_000;

    final PlatformStoreStandin store = new PlatformStoreStandin();
    final List<EntryHost> hosts = new ArrayList<>();
    final List<PlainWorker> workers = new ArrayList<>();
    private final DisposableServer mStoreServer;
    private final Timeline mTimeline;
    private final Path mFolder;

    Deployment(Timeline timeline) throws IOException {
        mTimeline = timeline;
        mFolder = Files.createTempDirectory("fuchsiaford-review");
        mStoreServer = store.start(0);
        store.put("op/config", Site.manifest());
        Runtime.getRuntime().addShutdownHook(new Thread(this::endHosts));
    }

    int storePort() {
        return mStoreServer.port();
    }

    /** Adds one worker in each zone. */
    void addWorkers(boolean keepIds, long backMillis, Predicate<String> crashesOn) {
        for (String zone : Site.ZONES) {
            PlainWorker worker =
                    new PlainWorker(
                            "i-" + zone, zone, keepIds, backMillis, crashesOn, store, mTimeline);
            worker.start();
            workers.add(worker);
        }
    }

    /**
     * Starts the hosts and waits until all are ready and have been in touch for a while.
     *
     * @param storePort the port at which the host of an index reaches the store
     */
    void startHosts(IntFunction<Integer> storePort) throws IOException, InterruptedException {
        for (String zone : Site.ZONES) {
            for (int i = 1; i <= Site.HOSTS_PER_ZONE; i++) {
                hosts.add(
                        new EntryHost(
                                "edge-" + zone + "-" + i,
                                zone,
                                storePort.apply(hosts.size()),
                                mFolder,
                                mTimeline));
            }
        }
        List<Integer> seeds =
                Site.ZONES.stream()
                        .map(zone -> hosts.stream().filter(h -> h.zone.equals(zone)).findFirst())
                        .map(host -> host.orElseThrow().peerPort)
                        .toList();
        for (EntryHost host : hosts) {
            host.setSeeds(seeds);
            host.start();
        }
        double limit = mTimeline.seconds() + READY_SECONDS;
        while (!hosts.stream().allMatch(EntryHost::isReady)) {
            if (mTimeline.seconds() > limit) {
                throw new IllegalStateException("the hosts did not become ready");
            }
            Thread.sleep(200);
        }
        Thread.sleep(SETTLE_MILLIS);
        mTimeline.restart();
        mTimeline.write("all hosts are ready");
    }

    /** Returns the requests that have reached any worker, in order. */
    List<PlainWorker.Arrival> arrivals() {
        return workers.stream()
                .flatMap(worker -> worker.arrivals().stream())
                .sorted(Comparator.comparingDouble(PlainWorker.Arrival::atSeconds))
                .toList();
    }

    private void endHosts() {
        hosts.forEach(EntryHost::end);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        endHosts();
        mStoreServer.disposeNow();
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            System.out.println("logs: " + mFolder);
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
