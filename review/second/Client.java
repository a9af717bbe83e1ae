import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A client in a zone. It asks a host of its zone where to connect, keeps the answer for the time
 * that it states, and sends each request to one of the addresses at random. Thread-safe.
 */
final class Client {
    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");
    private static final Pattern LIFE = Pattern.compile("\"ttlS\":\\s*([0-9.]+)");
    private static final int RESOLVE_MILLIS = 1_000;
    private static final double MAX_LIFE_SECONDS = 5;
    private static final AtomicLong COUNT = new AtomicLong();

    private final String mZone;
    private final List<EntryHost> mHosts;
    private final Timeline mTimeline;
    private final Random mRandom;
    private List<Integer> mPorts = List.of();
    private double mUntilSeconds;

    Client(String zone, List<EntryHost> hosts, Timeline timeline, long seed) {
        mZone = zone;
        mTimeline = timeline;
        mRandom = new Random(seed);
        List<EntryHost> nearest = new ArrayList<>(hosts);
        nearest.sort((a, b) -> Boolean.compare(!a.zone.equals(zone), !b.zone.equals(zone)));
        mHosts = nearest;
    }

    /** A request and what came back of it. */
    record Sent(double atSeconds, String id, String host, boolean inTouch, Call call) {}

    private synchronized List<Integer> ports() {
        if (mTimeline.seconds() < mUntilSeconds && !mPorts.isEmpty()) {
            return mPorts;
        }
        String target =
                "/api/resolve?name=" + Site.HOST + "&region=" + Site.REGION + "&zone=" + mZone;
        for (EntryHost host : mHosts.subList(0, Math.min(3, mHosts.size()))) {
            Call call =
                    Call.send(
                            host.directoryPort,
                            "GET",
                            target,
                            Map.of("Host", Site.HOST),
                            "",
                            RESOLVE_MILLIS);
            List<Integer> ports = new ArrayList<>();
            Matcher address = ADDRESS.matcher(call.body);
            while (address.find()) {
                ports.add(Integer.parseInt(address.group(1)));
            }
            Matcher life = LIFE.matcher(call.body);
            if (call.status == 200 && !ports.isEmpty() && life.find()) {
                mPorts = ports;
                mUntilSeconds =
                        mTimeline.seconds()
                                + Math.min(MAX_LIFE_SECONDS, Double.parseDouble(life.group(1)));
                return mPorts;
            }
        }
        return mPorts;
    }

    /** Sends a request as a first try, to one of the addresses. */
    Sent send(String method, String path, String body) {
        return send(Site.KEY, method, path, body);
    }

    /** Sends a request with the key of a tenant as a first try, to one of the addresses. */
    Sent send(String key, String method, String path, String body) {
        return send(key, method, path, body, Map.of(), Site.DEADLINE_MILLIS);
    }

    /** Sends a request with further headers and a time limit of its own. */
    Sent send(
            String key,
            String method,
            String path,
            String body,
            Map<String, String> further,
            int deadlineMillis) {
        List<Integer> ports = ports();
        if (ports.isEmpty()) {
            return null;
        }
        int port;
        synchronized (this) {
            port = ports.get(mRandom.nextInt(ports.size()));
        }
        EntryHost host =
                mHosts.stream().filter(h -> h.callerPort == port).findAny().orElseThrow();
        String id = "r" + COUNT.incrementAndGet();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Site.HOST);
        headers.put("Fuchsiaford-Request-Id", id);
        headers.put("Fuchsiaford-Deadline-Ms", Integer.toString(deadlineMillis));
        headers.put("X-Api-Key", key);
        headers.putAll(further);
        boolean inTouch = host.isInTouch();
        double atSeconds = mTimeline.seconds();
        Call call =
                Call.send(port, method, path, headers, body, deadlineMillis + 500);
        mTimeline.write(
                "client in %s: %s %s as %s to host %s: %d %s %s",
                mZone,
                method,
                path,
                id,
                host.name,
                call.status,
                call.headers.getOrDefault("Retry-After", ""),
                call.error);
        return new Sent(atSeconds, id, host.name, inTouch, call);
    }
}
