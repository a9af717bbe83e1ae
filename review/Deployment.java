package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: the store, entry hosts in three zones and what they write down. */
final class Deployment {
    static final List<String> ZONES = List.of("se-atl", "se-bhm", "se-chs");
    private static final int READY_SECONDS = 20;

    private final CaseRecord mRecord;
    private final Path mFolder;
    private final PlatformStore mStore;
    private final List<EntryProcess> mHosts = new ArrayList<>();
    private final Caller mCaller;

    Deployment(Path root, CaseRecord record, int hostCount) throws IOException {
        mRecord = record;
        mFolder = Files.createTempDirectory("fuchsiaford-review");
        mStore = new PlatformStore(record);
        mCaller = new Caller(record);
        for (int i = 0; i < hostCount; i++) {
            String zone = ZONES.get(i % ZONES.size());
            mHosts.add(new EntryProcess(root, mFolder, "edge-" + zone + "-" + (i / 3 + 1), zone));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    PlatformStore store() {
        return mStore;
    }

    List<EntryProcess> hosts() {
        return mHosts;
    }

    Caller caller() {
        return mCaller;
    }

    /** Starts the hosts; fails if they are not ready in time. */
    void start() throws IOException {
        start(Collections.nCopies(mHosts.size(), mStore.address()));
    }

    /** Starts the hosts, each with an address of the store. */
    void start(List<String> storeAddresses) throws IOException {
        List<String> seeds = mHosts.stream().limit(3).map(EntryProcess::peers).toList();
        for (int i = 0; i < mHosts.size(); i++) {
            mHosts.get(i).start(storeAddresses.get(i), seeds);
        }
        for (int tries = 0; tries < READY_SECONDS * 10; tries++) {
            if (mHosts.stream().allMatch(this::isReady)) {
                mRecord.line("all hosts are ready");
                return;
            }
            Threads.sleep(0.1);
        }
        throw new IOException("the hosts are not ready");
    }

    boolean isReady(EntryProcess host) {
        return mCaller.get(host.readiness(), "/api/readyz").status() == 200;
    }

    /** Writes a version of the manifest as the operator does; returns when it was acknowledged. */
    double roll(Map<String, Object> manifest, String note) {
        long revision = mStore.write("op/config", Json.write(manifest));
        mRecord.line(
                "operator: version %s acknowledged at revision %d: %s",
                manifest.get("version"), revision, note);
        return mRecord.seconds();
    }

    static Map<String, Object> manifest(
            long version, List<?> routes, List<?> services, List<?> workspaces) {
        return Json.object(
                "version", version,
                "routes", routes,
                "services", services,
                "limits",
                        Json.object(
                                "maxHeaderBytes", 16_384,
                                "maxBodyBytes", 4_194_304,
                                "headerTimeoutMs", 3_000,
                                "idleTimeoutMs", 15_000),
                "tenants", workspaces);
    }

    static Map<String, Object> route(
            String host, String prefix, String kind, int timeoutMs, int targetMs, String service,
            int maxAttempts) {
        return Json.object(
                "name", prefix.replace("/", ""),
                "host", host,
                "pathPrefix", prefix,
                "kind", kind,
                "timeoutMs", timeoutMs,
                "targetLatencyMs", targetMs,
                "targetGapMs", 300,
                "priority", 1,
                "service", service,
                "maxAttempts", maxAttempts,
                "public", false,
                "sticky", kind.equals("streaming"),
                "resumable", false);
    }

    static Map<String, Object> plainService(String name) {
        return Json.object("name", name, "healthPath", "/healthz", "maxConnections", 96);
    }

    static Map<String, Object> engineService(String name) {
        return Json.object(
                "name", name,
                "healthPath", "/healthz",
                "maxConnections", 360,
                "engine",
                        Json.object("slots", 64, "kvCapacityTokens", 66_719, "handleTtlS", 0.5));
    }

    static Map<String, Object> workspace(String name, String... keys) {
        return Json.object(
                "name", name,
                "apiKeys", List.of(keys),
                "unit", "token_stream",
                "plainTokens", 200,
                "ratePerS", 0,
                "burst", 0);
    }

    /** Ends all processes and removes the temporary folder. */
    void stop() {
        try {
            for (EntryProcess host : mHosts) {
                host.stop();
            }
            if (System.getenv("KEEP_LOGS") == null && Files.exists(mFolder)) {
                try (Stream<Path> files = Files.walk(mFolder)) {
                    for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.delete(file);
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            mRecord.line("cannot clean up: %s", e);
        }
    }
}
