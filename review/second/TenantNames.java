import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A new manifest brings two tenants whose names differ in one letter. Judged is the rule UNASKED: a
 * worker runs a request whose Fuchsiaford-Tenant isn't the tenant that holds the client's key. It is
 * broken if the header has the same bytes for both, however they are read.
 *
 * <p>Arguments: the record file; 0 for names in ASCII.
 */
final class TenantNames {
    private static final List<String> NAMES = List.of("Qu\u1ef9 \u1ea4m", "Qu\u1ef9 \u1ea6m");
    private static final List<String> ASCII_NAMES = List.of("Quy Am", "Quy Em");
    private static final double CHANGE_AT_SECONDS = 1;
    private static final double FROM_SECONDS = CHANGE_AT_SECONDS + 3;
    private static final int ROUNDS = 20;
    private static final long GAP_MILLIS = 100;

    private TenantNames() {}

    public static void main(String[] args) {
        int verdict;
        try (Timeline timeline = new Timeline(Path.of(args[0]));
                Deployment deployment = new Deployment(timeline)) {
            deployment.addWorkers(false, 0, body -> false);
            deployment.startHosts(index -> deployment.storePort());
            verdict = run(deployment, timeline, args[1].equals("0") ? ASCII_NAMES : NAMES);
        } catch (Exception e) {
            e.printStackTrace();
            verdict = Deployment.NOT_RUN;
        }
        System.exit(verdict);
    }

    private static int run(Deployment deployment, Timeline timeline, List<String> names)
            throws InterruptedException {
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("storefront", Site.KEY);
        names.forEach(name -> keys.put(name, "review-key-" + names.indexOf(name)));
        Threads2.sleepUntil(timeline, CHANGE_AT_SECONDS);
        deployment.store.put("op/config", Site.manifest(4, keys));
        timeline.write("manifest 4 has the tenants %s", keys.keySet());
        Threads2.sleepUntil(timeline, FROM_SECONDS);
        Map<String, String> tenants = new TreeMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (String name : names) {
                String zone = Site.ZONES.get(round % Site.ZONES.size());
                Client client = new Client(zone, deployment.hosts, timeline, round);
                Client.Sent sent =
                        client.send(keys.get(name), "POST", "/charge/" + round, "{\"n\": 1}");
                if (sent != null) {
                    tenants.put(sent.id(), name);
                }
                Thread.sleep(GAP_MILLIS);
            }
        }
        return judge(deployment, timeline, tenants);
    }

    private static int judge(
            Deployment deployment, Timeline timeline, Map<String, String> tenants) {
        Map<String, Set<String>> namesByBytes = new TreeMap<>();
        for (PlainWorker.Arrival run : deployment.arrivals()) {
            String header = run.headers().getOrDefault("Fuchsiaford-Tenant", "");
            String bytes =
                    HexFormat.of().formatHex(header.getBytes(StandardCharsets.ISO_8859_1));
            String name = tenants.get(run.request());
            timeline.write(
                    "worker %s ran %s of tenant %s with Fuchsiaford-Tenant %s (bytes %s)",
                    run.worker(), run.request(), name, header, bytes);
            namesByBytes.computeIfAbsent(bytes, key -> new HashSet<>()).add(name);
        }
        namesByBytes.forEach(
                (bytes, names) -> timeline.say("header bytes %s: tenants %s", bytes, names));
        if (namesByBytes.isEmpty()) {
            timeline.say("no request has run");
            return Deployment.NOT_RUN;
        }
        boolean broken = namesByBytes.values().stream().anyMatch(names -> names.size() > 1);
        timeline.say(broken ? "BROKEN: UNASKED" : "held: UNASKED");
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }
}
