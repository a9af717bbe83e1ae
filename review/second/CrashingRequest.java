import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A request that crashes the workers that run it comes again and again. Judged is the rule BUDGET:
 * such a request reaches workers in more than three retries, sent by machines in touch later than
 * contactMs after it has crashed the third.
 *
 * <p>Arguments: the record file; {@code same-id}, in which one of the three workers is lost for good
 * and the others start again under the ids that they had, or {@code kill}, in which the host that
 * coordinates the others is killed once, or {@code query}, in which the client adds the time to the
 * query of the same path; 0 without the disruption: new ids, no kill, or no query.
 */
final class CrashingRequest {
    private static final String BODY = "{\"order\": \"the one that no worker survives\"}";
    private static final String PATH = "/charge/41";
    private static final int MAX_RETRIES = 3;
    private static final double LENGTH_SECONDS = 80;
    private static final double AGAIN_SECONDS = 4;
    private static final double RETRY_MARGIN_SECONDS = 0.05;
    private static final long BACK_MILLIS = 2_000;
    private static final long SOUND_GAP_MILLIS = 400;
    private static final double KILL_AT_SECONDS = 6;
    private static final Pattern COORDINATOR =
            Pattern.compile("\"event\":\"Coordinator\",\"coordinator\":\"([^\"]+)-[0-9a-f]{8}-");

    private CrashingRequest() {}

    public static void main(String[] args) {
        boolean sameId = args[1].equals("same-id");
        boolean trouble = !args[2].equals("0");
        int verdict;
        try (Timeline timeline = new Timeline(Path.of(args[0]));
                Deployment deployment = new Deployment(timeline)) {
            deployment.addWorkers(sameId && trouble, BACK_MILLIS, BODY::equals);
            deployment.startHosts(index -> deployment.storePort());
            if (sameId) {
                deployment.workers.get(Site.ZONES.size() - 1).loseForGood();
            }
            verdict = run(deployment, timeline, trouble ? args[1] : "");
        } catch (Exception e) {
            e.printStackTrace();
            verdict = Deployment.NOT_RUN;
        }
        System.exit(verdict);
    }

    private static int run(Deployment deployment, Timeline timeline, String trouble)
            throws InterruptedException {
        ExecutorService threads = Executors.newCachedThreadPool(Threads2.DAEMON);
        for (String zone : Site.ZONES) {
            threads.execute(() -> sendSound(deployment, zone, timeline));
        }
        if (trouble.equals("kill")) {
            threads.execute(() -> kill(deployment, timeline));
        }
        Client client = new Client(Site.ZONES.get(0), deployment.hosts, timeline, 1);
        Map<String, Boolean> inTouch = new ConcurrentHashMap<>();
        double at = 0;
        while (at < LENGTH_SECONDS) {
            Threads2.sleepUntil(timeline, at);
            String query = trouble.equals("query") ? "?at=" + System.currentTimeMillis() : "";
            Client.Sent sent = client.send("POST", PATH + query, BODY);
            if (sent != null) {
                inTouch.put(sent.id(), sent.inTouch());
            }
            at = timeline.seconds() + pauseSeconds(sent);
        }
        return judge(deployment, timeline, inTouch);
    }

    /** The client comes again after a while, or when it was told to if that is sooner. */
    private static double pauseSeconds(Client.Sent sent) {
        String retryAfter = sent == null ? null : sent.call().headers.get("Retry-After");
        return retryAfter == null
                ? AGAIN_SECONDS
                : Math.min(AGAIN_SECONDS, Double.parseDouble(retryAfter) + RETRY_MARGIN_SECONDS);
    }

    private static void sendSound(Deployment deployment, String zone, Timeline timeline) {
        Client client = new Client(zone, deployment.hosts, timeline, zone.hashCode());
        try {
            for (int i = 0; timeline.seconds() < LENGTH_SECONDS; i++) {
                if (i % 2 == 0) {
                    client.send("GET", "/status/" + i, "");
                } else {
                    client.send("POST", "/charge/" + (1_000 + i), "{\"order\": " + i + "}");
                }
                Thread.sleep(SOUND_GAP_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the host that most hosts name as their coordinator; the platform starts it again. */
    private static void kill(Deployment deployment, Timeline timeline) {
        try {
            Threads2.sleepUntil(timeline, KILL_AT_SECONDS);
            Map<String, Integer> votes = new HashMap<>();
            for (EntryHost host : deployment.hosts) {
                Matcher named = COORDINATOR.matcher(host.log());
                String last = "";
                while (named.find()) {
                    last = named.group(1);
                }
                votes.merge(last, 1, Integer::sum);
            }
            timeline.write("named as coordinator: %s", votes);
            String coordinator = Collections.max(votes.entrySet(), Map.Entry.comparingByValue()).getKey();
            deployment.hosts.stream()
                    .filter(host -> host.name.equals(coordinator))
                    .forEach(EntryHost::kill);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int judge(
            Deployment deployment, Timeline timeline, Map<String, Boolean> inTouch) {
        List<PlainWorker.Arrival> runs =
                deployment.arrivals().stream()
                        .filter(arrival -> arrival.body().equals(BODY) && arrival.run())
                        .toList();
        runs.forEach(
                run ->
                        timeline.say(
                                "the request reached worker %s (born %d) at %.1f s as %s, sent by a"
                                        + " machine %s",
                                run.worker(),
                                run.born(),
                                run.atSeconds(),
                                run.request(),
                                inTouch.get(run.request()) ? "in touch" : "out of touch"));
        if (runs.size() < 3) {
            timeline.say("the request has crashed fewer than three workers");
            return Deployment.NOT_RUN;
        }
        double fromSeconds = runs.get(2).atSeconds() + Site.CONTACT_SECONDS;
        List<PlainWorker.Arrival> late = new ArrayList<>(runs.subList(3, runs.size()));
        late.removeIf(run -> run.atSeconds() <= fromSeconds || !inTouch.get(run.request()));
        timeline.say(
                "%d retries reached workers later than contactMs after the third crash; %d are"
                        + " allowed",
                late.size(), MAX_RETRIES);
        boolean broken = late.size() > MAX_RETRIES;
        timeline.say(broken ? "BROKEN: BUDGET" : "held: BUDGET");
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }
}
