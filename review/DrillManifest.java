package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The store comes back from a copy some seconds old, and revisions are given out again. The next
 * manifest withdraws a key and moves a route.
 */
final class DrillManifest extends Case {
    private static final String HOST = "orders.example";
    private static final String KEPT_KEY = "key-kept";
    private static final String WITHDRAWN_KEY = "key-withdrawn";
    private static final double COPY_AGE_S = 4;
    private static final double AWAY_S = 0.5;
    private static final double CONFIG_APPLY_S = 2;
    private static final double CONTACT_S = 3;
    private static final double WATCHED_S = 20;
    private static final long COLD_MILLIS = 9_000;

    public static void main(String[] arguments) {
        new DrillManifest().play(arguments);
    }

    private static Map<String, Object> manifest(long version, String service, String... keys) {
        return Deployment.manifest(
                version,
                List.of(
                        Deployment.route(HOST, "/charge/", "unsafe", 1_000, 193, service, 1),
                        Deployment.route(HOST, "/status/", "safe", 1_000, 193, "desk", 2)),
                List.of(Deployment.plainService("desk"), Deployment.plainService("desk-new")),
                List.of(Deployment.workspace("macon", keys)));
    }

    @Override
    boolean isBroken(boolean trouble) throws IOException {
        Deployment deployment = deployment(3);
        PlatformStore store = deployment.store();
        List<Worker> workers = new ArrayList<>();
        for (String service : List.of("desk", "desk-new")) {
            for (String zone : Deployment.ZONES) {
                String id = service + "-" + zone;
                workers.add(new Worker(id, service, zone, null, 40, COLD_MILLIS, store, record()));
            }
        }
        deployment.roll(manifest(1, "desk", KEPT_KEY, WITHDRAWN_KEY), "the first");
        double startSecond = record().seconds();
        deployment.start();
        waitUntil(startSecond + 5);
        PlatformStore.Copy copy = store.copy();
        record().line("store: backup at revision %d", copy.revision());
        waitUntil(startSecond + 5 + COPY_AGE_S - 0.3);
        Map<String, Object> second = manifest(2, "desk", KEPT_KEY, WITHDRAWN_KEY, "key-added");
        deployment.roll(second, "adds a key");
        waitUntil(startSecond + 5 + COPY_AGE_S);
        if (trouble) {
            store.drill(copy, AWAY_S);
            deployment.roll(second, "written again");
            workers.forEach(Worker::registerAgain);
        }
        Threads.sleep(CONTACT_S + 2);
        ask(deployment, WITHDRAWN_KEY, "before it is withdrawn");
        double acknowledged =
                deployment.roll(
                        manifest(3, "desk-new", KEPT_KEY, "key-added"),
                        "withdraws " + WITHDRAWN_KEY + " and moves /charge/ to desk-new");
        waitUntil(acknowledged + CONFIG_APPLY_S + 0.1);
        while (record().seconds() < acknowledged + WATCHED_S) {
            ask(deployment, WITHDRAWN_KEY, "withdrawn");
            ask(deployment, KEPT_KEY, "kept");
            Threads.sleep(0.5);
        }
        return judge(workers, acknowledged + CONFIG_APPLY_S);
    }

    private void waitUntil(double second) {
        Threads.sleep(Math.max(0, second - record().seconds()));
    }

    private void ask(Deployment deployment, String key, String note) {
        for (EntryProcess host : deployment.hosts()) {
            Caller.Answer answer =
                    deployment
                            .caller()
                            .send(host.callers(), "POST", HOST, "/charge/1", key, 1_000, "");
            record().line(
                    "client: %s to %s with %s (%s): %d %s",
                    answer.id(), host.name(), key, note, answer.status(), answer.text());
            mSent.add(new Sent(answer, key));
        }
    }

    private record Sent(Caller.Answer answer, String key) {}

    private final List<Sent> mSent = new ArrayList<>();

    private boolean judge(List<Worker> workers, double boundSecond) {
        long withdrawn = 0;
        long oldService = 0;
        long right = 0;
        for (Sent sent : mSent) {
            if (sent.answer().sentSecond() < boundSecond) {
                continue;
            }
            boolean ran = runsOf(workers, sent.answer().id()) > 0;
            boolean ranOld =
                    runsOf(workers.subList(0, Deployment.ZONES.size()), sent.answer().id()) > 0;
            withdrawn += ran && sent.key().equals(WITHDRAWN_KEY) ? 1 : 0;
            oldService += ranOld && sent.key().equals(KEPT_KEY) ? 1 : 0;
            right += ran && !ranOld && sent.key().equals(KEPT_KEY) ? 1 : 0;
        }
        record().line(
                "sent later than 2 s after version 3 was acknowledged: %d ran with the withdrawn"
                        + " key, %d were run by the old service, %d by the new one",
                withdrawn, oldService, right);
        return withdrawn + oldService > 0;
    }

    private static long runsOf(List<Worker> workers, String id) {
        return workers.stream()
                .flatMap(worker -> worker.runs().stream())
                .filter(run -> run.id().equals(id))
                .count();
    }
}
