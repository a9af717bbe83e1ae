import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Model workers start anew in place at another software version, which crashes before its
 * registration is seen. Judged is the rule ORDER: more than two streams hold events from workers of two software
 * versions of one service.
 *
 * <p>Arguments: the record file; 0 without the upgrade.
 */
final class FlappingUpgrade {
    private static final String KEY = "review-key-support";
    private static final int MAX_JOINED = 2;
    private static final double FIRST_BURST_SECONDS = 1.5;
    private static final double BURST_EACH_SECONDS = 3;
    private static final int BURST = 12;
    private static final double GAP_SECONDS = 0.03;
    private static final double UPGRADE_AT_SECONDS = 7.1;
    private static final double NEXT_SECONDS = 6;
    private static final double DOWN_SECONDS = 0.3;
    private static final double UP_SECONDS = 0.75;

    /** The lag of registrations, as the site file has it. */
    private static final long CHECK_IN_MILLIS = 800;

    private static final double BACK_SECONDS = 3;
    private static final int WORKERS_PER_ZONE = 3;
    private static final int UPGRADED = 4;
    private static final double LENGTH_SECONDS =
            UPGRADE_AT_SECONDS + UPGRADED * NEXT_SECONDS + 2;

    private final Timeline mTimeline;
    private final Deployment mDeployment;
    private final List<UpgradedWorker> mWorkers = new ArrayList<>();
    private final List<Client.Sent> mSent = Collections.synchronizedList(new ArrayList<>());

    private FlappingUpgrade(Deployment deployment, Timeline timeline) {
        mDeployment = deployment;
        mTimeline = timeline;
    }

    public static void main(String[] args) {
        int verdict;
        try (Timeline timeline = new Timeline(Path.of(args[0]));
                Deployment deployment = new Deployment(timeline)) {
            verdict = new FlappingUpgrade(deployment, timeline).run(!args[1].equals("0"));
        } catch (Exception e) {
            e.printStackTrace();
            verdict = Deployment.NOT_RUN;
        }
        System.exit(verdict);
    }

    private int run(boolean trouble) throws Exception {
        mDeployment.store.put("op/config", Site.resumableManifest("support", KEY));
        for (String zone : Site.ZONES) {
            for (int i = 1; i <= WORKERS_PER_ZONE; i++) {
                String stage = mWorkers.isEmpty() ? "prefill" : "decode";
                UpgradedWorker worker =
                        new UpgradedWorker(
                                "m-" + zone + "-" + i, zone, stage, mDeployment.store, mTimeline);
                worker.start("1.0", 0);
                mWorkers.add(worker);
            }
        }
        mDeployment.startHosts(index -> mDeployment.storePort());
        ExecutorService threads = Executors.newCachedThreadPool(Threads2.DAEMON);
        Site.ZONES.forEach(zone -> threads.execute(() -> sendAll(zone)));
        if (trouble) {
            threads.execute(this::upgrade);
        }
        Threads2.sleepUntil(mTimeline, LENGTH_SECONDS);
        return judge();
    }

    /**
     * Upgrades some workers one after the other in a pause of the traffic. The new version crashes
     * before its registration is seen, and is there again after a while.
     */
    private void upgrade() {
        try {
            for (int i = 0; i < UPGRADED; i++) {
                double at = UPGRADE_AT_SECONDS + i * NEXT_SECONDS;
                UpgradedWorker worker = mWorkers.get(mWorkers.size() - 1 - i);
                Threads2.sleepUntil(mTimeline, at);
                worker.crash();
                Threads2.sleepUntil(mTimeline, at + DOWN_SECONDS);
                worker.start("2.0", CHECK_IN_MILLIS);
                Threads2.sleepUntil(mTimeline, at + DOWN_SECONDS + UP_SECONDS);
                worker.crash();
                Threads2.sleepUntil(mTimeline, at + BACK_SECONDS);
                worker.start("2.0", 0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends in bursts, of which each follows the start of an upgraded worker if there is one. */
    private void sendAll(String zone) {
        Client client = new Client(zone, mDeployment.hosts, mTimeline, zone.hashCode());
        ExecutorService threads = Executors.newCachedThreadPool(Threads2.DAEMON);
        try {
            int number = 0;
            for (double at = FIRST_BURST_SECONDS; at < LENGTH_SECONDS - 2; at += BURST_EACH_SECONDS) {
                for (int i = 0; i < BURST; i++) {
                    Threads2.sleepUntil(mTimeline, at + i * GAP_SECONDS);
                    int next = number++;
                    threads.execute(() -> send(client, zone, next));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Client client, String zone, int number) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Fuchsiaford-Model", "m");
        headers.put("Fuchsiaford-Token-Counts", "800,165");
        headers.put(
                "Fuchsiaford-Prompt-Prefix",
                String.format("%x:200,%x:600", number % 50, zone.hashCode() + 1_000 * number));
        Client.Sent sent =
                client.send(
                        KEY,
                        "POST",
                        "/winback/" + number,
                        "{}",
                        headers,
                        Site.STREAM_DEADLINE_MILLIS);
        if (sent != null) {
            mSent.add(sent);
        }
    }

    private int judge() {
        List<Client.Sent> sent = List.copyOf(mSent);
        List<Client.Sent> joined =
                sent.stream()
                        .filter(s -> s.call().body.contains("version 1.0"))
                        .filter(s -> s.call().body.contains("version 2.0"))
                        .toList();
        joined.forEach(
                s -> {
                    List<String> events =
                            s.call().body.lines().filter(l -> l.startsWith("data: ")).toList();
                    long second = events.stream().filter(e -> e.contains("2.0")).count();
                    mTimeline.say(
                            "stream %s at host %s: %d events, %d of them of version 2.0, the first"
                                    + " of %s",
                            s.id(), s.host(), events.size(), second, events.get(0).substring(6));
                });
        mTimeline.say(
                "%d of %d streams hold events of two versions; %d are allowed",
                joined.size(), sent.size(), MAX_JOINED);
        if (sent.isEmpty()) {
            return Deployment.NOT_RUN;
        }
        boolean broken = joined.size() > MAX_JOINED;
        mTimeline.say(broken ? "BROKEN: ORDER" : "held: ORDER");
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }
}
