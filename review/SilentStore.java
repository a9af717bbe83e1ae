package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The open connections between the hosts and the store go silent for good, while new ones work.
 * Then a manifest withdraws a key and moves a route.
 */
final class SilentStore extends Case {
    private static final String HOST = "orders.example";
    private static final String KEPT_KEY = "key-kept";
    private static final String WITHDRAWN_KEY = "key-withdrawn";
    private static final double CONFIG_APPLY_S = 2;
    private static final double CONTACT_S = 3;
    private static final double WATCHED_S = 25;

    private final List<Sent> mSent = new CopyOnWriteArrayList<>();

    private record Sent(Caller.Answer answer, String key, String host) {}

    public static void main(String[] arguments) {
        new SilentStore().play(arguments);
    }

    private static Map<String, Object> manifest(long version, String service, String... keys) {
        return Deployment.manifest(
                version,
                List.of(Deployment.route(HOST, "/charge/", "unsafe", 1_000, 193, service, 1)),
                List.of(Deployment.plainService("desk"), Deployment.plainService("desk-new")),
                List.of(Deployment.workspace("macon", keys)));
    }

    @Override
    boolean isBroken(boolean trouble) throws IOException {
        Deployment deployment = deployment(6);
        PlatformStore store = deployment.store();
        List<Worker> workers = new ArrayList<>();
        for (String service : List.of("desk", "desk-new")) {
            for (String zone : Deployment.ZONES) {
                workers.add(
                        new Worker(
                                service + "-" + zone, service, zone, null, 40, 0, store, record()));
            }
        }
        deployment.roll(manifest(1, "desk", KEPT_KEY, WITHDRAWN_KEY), "the first");
        deployment.start();
        Threads.sleep(8);
        double silentSecond = record().seconds();
        if (trouble) {
            store.listener().silenceOpenConnections();
            record().line("the open connections to the store are silent");
        }
        Threads.sleep(1);
        double acknowledged =
                deployment.roll(
                        manifest(2, "desk-new", KEPT_KEY),
                        "withdraws " + WITHDRAWN_KEY + " and moves /charge/ to desk-new");
        double bound =
                Math.max(acknowledged + CONFIG_APPLY_S, silentSecond + CONTACT_S);
        Threads.sleep(bound - record().seconds() + 0.01);
        double end = record().seconds() + WATCHED_S;
        while (record().seconds() < end) {
            for (EntryProcess host : deployment.hosts()) {
                Threads.start(() -> ask(deployment, host, WITHDRAWN_KEY));
                Threads.start(() -> ask(deployment, host, KEPT_KEY));
            }
            Threads.sleep(0.2);
        }
        Threads.sleep(1);
        return judge(workers, bound);
    }

    private void ask(Deployment deployment, EntryProcess host, String key) {
        Caller.Answer answer =
                deployment.caller().send(host.callers(), "POST", HOST, "/charge/1", key, 1_000, "");
        record().line(
                "client: %s sent at %.3f to %s with %s: %d %s",
                answer.id(), answer.sentSecond(), host.name(), key, answer.status(), answer.text());
        mSent.add(new Sent(answer, key, host.name()));
    }

    private boolean judge(List<Worker> workers, double bound) {
        int withdrawn = 0;
        int oldService = 0;
        double last = 0;
        for (Sent sent : mSent) {
            boolean ranOld = ran(workers.subList(0, 3), sent.answer().id());
            boolean ran = ran(workers, sent.answer().id());
            if (sent.answer().sentSecond() < bound || !ran) {
                continue;
            }
            withdrawn += sent.key().equals(WITHDRAWN_KEY) ? 1 : 0;
            oldService += ranOld && sent.key().equals(KEPT_KEY) ? 1 : 0;
            if (sent.key().equals(WITHDRAWN_KEY) || ranOld) {
                last = Math.max(last, sent.answer().sentSecond());
            }
        }
        record().line(
                "sent after the bound at %.3f: %d ran with the withdrawn key, %d were run by the"
                        + " old service, the last was sent at %.3f",
                bound, withdrawn, oldService, last);
        return withdrawn + oldService > 0;
    }

    private static boolean ran(List<Worker> workers, String id) {
        return workers.stream()
                .flatMap(worker -> worker.runs().stream())
                .anyMatch(run -> run.id().equals(id));
    }
}
