import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * One tenant sends many times its usual, in a zone whose hosts are cut off from all workers for some
 * seconds. Judged is the rule QUOTA: the tokens of a tenant that are sent and run in some
 * quotaWindowS.
 *
 * <p>Arguments: the record file; 0 without the cut.
 */
final class LateRefunds {
    private static final String TENANT = "dispatch";
    private static final String KEY = "review-key-dispatch";
    private static final String OTHER_TENANT = "support";
    private static final String OTHER_KEY = "review-key-support";
    private static final long OTHER_GAP_MILLIS = 200;
    private static final long TOKENS = 5_000;
    private static final long RATE_PER_SECOND = 47_000;
    private static final long BURST = 47_000;
    private static final double WINDOW_SECONDS = 8;
    private static final double OVERAGE = 0.1;
    private static final long SLACK = 190_000;

    /** The tenant's usual is 9.4 requests a second, which is its rate; it sends 7.5 times that. */
    private static final double HOT_GAP_SECONDS = 1 / (9.4 * 7.5);

    private static final int FIRST_OTHER = 10_000;
    private static final int WORKERS_PER_ZONE = 3;
    private static final double HOT_AT_SECONDS = 10;
    private static final double HOT_SECONDS = 11;
    private static final double CUT_AT_SECONDS = 10;
    private static final double CUT_SECONDS = 5.5;
    private static final double LENGTH_SECONDS = HOT_AT_SECONDS + HOT_SECONDS + 2;

    private final Timeline mTimeline;
    private final Deployment mDeployment;
    private final List<ModelWorker> mWorkers = new ArrayList<>();
    private final List<List<WorkerPath>> mPaths = new ArrayList<>();
    private final Map<String, Double> mSentSeconds = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> mAnswers = new ConcurrentHashMap<>();

    private LateRefunds(Deployment deployment, Timeline timeline) {
        mDeployment = deployment;
        mTimeline = timeline;
    }

    public static void main(String[] args) {
        int verdict;
        try (Timeline timeline = new Timeline(Path.of(args[0]));
                Deployment deployment = new Deployment(timeline)) {
            verdict = new LateRefunds(deployment, timeline).run(!args[1].equals("0"));
        } catch (Exception e) {
            e.printStackTrace();
            verdict = Deployment.NOT_RUN;
        }
        System.exit(verdict);
    }

    private int run(boolean trouble) throws Exception {
        mDeployment.store.put(
                "op/config",
                Site.modelManifest(
                        TENANT, KEY, RATE_PER_SECOND, BURST, OTHER_TENANT, OTHER_KEY));
        for (String zone : Site.ZONES) {
            for (int i = 1; i <= WORKERS_PER_ZONE; i++) {
                String stage = mWorkers.isEmpty() ? "prefill" : "decode";
                ModelWorker worker =
                        new ModelWorker(
                                "m-" + zone + "-" + i, zone, stage, mDeployment.store, mTimeline);
                worker.start();
                mWorkers.add(worker);
            }
        }
        mDeployment.startHosts(index -> view().port);
        ExecutorService threads = Executors.newCachedThreadPool(Threads2.DAEMON);
        Site.ZONES.forEach(zone -> threads.execute(() -> sendUsual(zone)));
        threads.execute(this::sendHot);
        Threads2.sleepUntil(mTimeline, CUT_AT_SECONDS);
        if (trouble) {
            cutPaths().forEach(WorkerPath::hang);
            mTimeline.write("the hosts of %s are cut off from all workers", Site.ZONES.get(0));
        }
        Threads2.sleepUntil(mTimeline, CUT_AT_SECONDS + CUT_SECONDS);
        if (trouble) {
            cutPaths().forEach(WorkerPath::cut);
            cutPaths().forEach(WorkerPath::heal);
            mTimeline.write("the cut has healed");
        }
        Threads2.sleepUntil(mTimeline, LENGTH_SECONDS);
        return judge();
    }

    private StoreView view() {
        List<WorkerPath> paths = new ArrayList<>();
        Map<Integer, Integer> ports = new HashMap<>();
        for (ModelWorker worker : mWorkers) {
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

    /** What another tenant, which has no limit, sends all the time. */
    private void sendUsual(String zone) {
        Client client = new Client(zone, mDeployment.hosts, mTimeline, zone.hashCode());
        ExecutorService threads = Executors.newCachedThreadPool(Threads2.DAEMON);
        try {
            for (int i = 0; mTimeline.seconds() < LENGTH_SECONDS - 1; i++) {
                int number = FIRST_OTHER + i;
                threads.execute(() -> send(client, OTHER_KEY, number));
                Thread.sleep(OTHER_GAP_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendHot() {
        Client client = new Client(Site.ZONES.get(0), mDeployment.hosts, mTimeline, 1);
        ExecutorService threads = Executors.newCachedThreadPool(Threads2.DAEMON);
        try {
            for (int i = 0; i * HOT_GAP_SECONDS < HOT_SECONDS; i++) {
                Threads2.sleepUntil(mTimeline, HOT_AT_SECONDS + i * HOT_GAP_SECONDS);
                int number = i;
                threads.execute(() -> send(client, KEY, number));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Client client, String key, int number) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Fuchsiaford-Model", "m");
        headers.put("Fuchsiaford-Token-Counts", (TOKENS - 68) + ",68");
        headers.put(
                "Fuchsiaford-Prompt-Prefix",
                String.format("%x:200,%x:%d", number % 2_000, 1_000_000 + number, TOKENS - 268));
        Client.Sent sent =
                client.send(
                        key,
                        "POST",
                        "/flavor/" + number,
                        "{}",
                        headers,
                        Site.STREAM_DEADLINE_MILLIS);
        if (sent != null) {
            mSentSeconds.put(sent.id(), sent.atSeconds());
            if (key.equals(KEY)) {
                mAnswers.merge(sent.call().status, 1, Integer::sum);
            }
        }
    }

    private int judge() {
        List<ModelWorker.Run> runs =
                mWorkers.stream()
                        .flatMap(worker -> worker.runs().stream())
                        .filter(run -> run.tenant().equals(TENANT))
                        .sorted(Comparator.comparingDouble(ModelWorker.Run::atSeconds))
                        .toList();
        long most = 0;
        double from = 0;
        for (ModelWorker.Run first : runs) {
            double start = Math.min(first.atSeconds(), sentSeconds(first));
            long tokens =
                    runs.stream()
                            .filter(run -> sentSeconds(run) >= start)
                            .filter(run -> run.atSeconds() <= start + WINDOW_SECONDS)
                            .mapToLong(ModelWorker.Run::tokens)
                            .sum();
            if (tokens > most) {
                most = tokens;
                from = start;
            }
        }
        double allowed =
                (RATE_PER_SECOND * WINDOW_SECONDS + BURST) * (1 + OVERAGE) + SLACK;
        mTimeline.say(
                "answers to the tenant by status: %s; %d of its requests ran",
                mAnswers,
                runs.size());
        mTimeline.say(
                "most tokens sent and run in %.0f s: %d, from %.1f s; allowed %.0f",
                WINDOW_SECONDS, most, from, allowed);
        boolean broken = most > allowed;
        mTimeline.say(broken ? "BROKEN: QUOTA" : "held: QUOTA");
        return runs.isEmpty()
                ? Deployment.NOT_RUN
                : broken ? Deployment.BROKEN : Deployment.HELD;
    }

    private double sentSeconds(ModelWorker.Run run) {
        return mSentSeconds.getOrDefault(run.request(), run.atSeconds());
    }
}
