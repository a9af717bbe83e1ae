import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * All hosts of one zone are cut off from all workers for some seconds, while clients, the store and
 * the other hosts still reach them. Judged is the rule RECOVER for machines partitioned from all
 * workers.
 *
 * <p>Arguments: the record file; 0 without the disruption.
 */
final class CutFromWorkers {
    private static final double CUT_AT_SECONDS = 5;
    private static final double CUT_SECONDS = 12;
    private static final double LENGTH_SECONDS = CUT_AT_SECONDS + CUT_SECONDS + 4;
    private static final long GAP_MILLIS = 100;
    private static final double MIN_SHARE = 2.0 / 3;
    private static final int FAILURES = 10;
    private static final double FAILURE_SHARE = 1.0 / 50;

    private final Timeline mTimeline;
    private final Deployment mDeployment;
    private final List<List<WorkerPath>> mPaths = new ArrayList<>();
    private final List<Client.Sent> mSent = Collections.synchronizedList(new ArrayList<>());

    private CutFromWorkers(Deployment deployment, Timeline timeline) {
        mDeployment = deployment;
        mTimeline = timeline;
    }

    public static void main(String[] args) {
        int verdict;
        try (Timeline timeline = new Timeline(Path.of(args[0]));
                Deployment deployment = new Deployment(timeline)) {
            verdict = new CutFromWorkers(deployment, timeline).run(!args[1].equals("0"));
        } catch (Exception e) {
            e.printStackTrace();
            verdict = Deployment.NOT_RUN;
        }
        System.exit(verdict);
    }

    private int run(boolean trouble) throws Exception {
        mDeployment.addWorkers(false, 0, body -> false);
        mDeployment.startHosts(index -> view().port);
        ExecutorService threads = Executors.newCachedThreadPool(Threads2.DAEMON);
        for (String zone : Site.ZONES) {
            threads.execute(() -> send(zone));
        }
        Threads2.sleepUntil(mTimeline, CUT_AT_SECONDS);
        if (trouble) {
            cutPaths().forEach(WorkerPath::cut);
            mTimeline.write("the hosts of %s are cut off from all workers", Site.ZONES.get(0));
        }
        Threads2.sleepUntil(mTimeline, CUT_AT_SECONDS + CUT_SECONDS);
        if (trouble) {
            cutPaths().forEach(WorkerPath::heal);
            mTimeline.write("the cut has healed");
        }
        Threads2.sleepUntil(mTimeline, LENGTH_SECONDS);
        return judge();
    }

    /** Creates the view of the next host, with a path of its own to each worker. */
    private StoreView view() {
        List<WorkerPath> paths = new ArrayList<>();
        Map<Integer, Integer> ports = new HashMap<>();
        for (PlainWorker worker : mDeployment.workers) {
            WorkerPath path = new WorkerPath(worker.port());
            paths.add(path);
            ports.put(worker.port(), path.port);
        }
        mPaths.add(paths);
        return new StoreView(mDeployment.storePort(), ports);
    }

    private List<WorkerPath> cutPaths() {
        return mPaths.subList(0, Site.HOSTS_PER_ZONE).stream().flatMap(List::stream).toList();
    }

    private void send(String zone) {
        Client client = new Client(zone, mDeployment.hosts, mTimeline, zone.hashCode());
        ExecutorService threads = Executors.newCachedThreadPool(Threads2.DAEMON);
        try {
            for (int i = 0; mTimeline.seconds() < LENGTH_SECONDS; i++) {
                int number = i;
                threads.execute(() -> send(client, number));
                Thread.sleep(GAP_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Client client, int number) {
        Client.Sent sent =
                number % 2 == 0
                        ? client.send("GET", "/status/" + number, "")
                        : client.send("POST", "/charge/" + number, "{\"order\": " + number + "}");
        if (sent != null) {
            mSent.add(sent);
        }
    }

    private int judge() {
        double from = CUT_AT_SECONDS + Site.CONTACT_SECONDS;
        double to = CUT_AT_SECONDS + CUT_SECONDS;
        List<Client.Sent> judged =
                List.copyOf(mSent).stream()
                        .filter(sent -> sent.atSeconds() >= from && sent.atSeconds() < to)
                        .toList();
        List<Client.Sent> there = judged.stream().filter(this::isCutOff).toList();
        List<Client.Sent> elsewhere = judged.stream().filter(sent -> !isCutOff(sent)).toList();
        long failures = there.stream().filter(sent -> !sent.call().isSuccess()).count();
        double allowed = FAILURES + FAILURE_SHARE * judged.size();
        mTimeline.say(
                "first tries at the machines that are cut off: %d, served %.3f; at the others: %d,"
                        + " served %.3f",
                there.size(), share(there), elsewhere.size(), share(elsewhere));
        mTimeline.say("failed at the former: %d, allowed %.1f", failures, allowed);
        boolean broken = share(there) < MIN_SHARE * share(elsewhere) && failures > allowed;
        mTimeline.say(broken ? "BROKEN: RECOVER" : "held: RECOVER");
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }

    private boolean isCutOff(Client.Sent sent) {
        return sent.host().contains(Site.ZONES.get(0));
    }

    private static double share(List<Client.Sent> sent) {
        return sent.isEmpty()
                ? 1
                : (double) sent.stream().filter(s -> s.call().isSuccess()).count() / sent.size();
    }
}
