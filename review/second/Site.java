import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** The figures of the installation that the cases follow, a small one: magnolia-brew. */
final class Site {
    static final String REGION = "southeast";
    static final List<String> ZONES = List.of("se-atl", "se-bhm", "se-chs");
    static final int HOSTS_PER_ZONE = 2;
    static final long CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
    static final double CONTACT_SECONDS = 3;
    static final int DEADLINE_MILLIS = 1_000;
    static final String HOST = "orders.example";
    static final String KEY = "review-key-storefront";
    static final String SERVICE = "orderdesk";
    static final int SLOTS = 6;
    static final String MODEL_SERVICE = "brewnotes";
    static final int STREAM_DEADLINE_MILLIS = 14_000;

    private Site() {}

    static String zonesJson() {
        return ZONES.stream()
                .map(zone -> "\"" + zone + "\":\"" + REGION + "\"")
                .collect(Collectors.joining(",", "{", "}"));
    }

    /** The first manifest: the two routes of the plain service, one tenant without a limit. */
    static String manifest() {
        return manifest(3, Map.of("storefront", KEY));
    }

    /**
     * A manifest with tenants without a limit.
     *
     * @param tenants the key of each tenant by its name
     */
    static String manifest(int version, Map<String, String> tenants) {
        String list =
                tenants.entrySet().stream()
                        .map(
                                tenant ->
                                        String.format(
                                                "{\"name\": \"%s\", \"apiKeys\": [\"%s\"],"
                                                        + " \"unit\": \"token_stream\","
                                                        + " \"plainTokens\": 200,"
                                                        + " \"ratePerS\": 0, \"burst\": 0}",
                                                tenant.getKey(), tenant.getValue()))
                        .collect(Collectors.joining(", "));
        return """
                {"version": %d,
                 "routes": [
                  {"name": "charge-order", "host": "orders.example", "pathPrefix": "/charge/",
                   "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 193, "priority": 2,
                   "service": "orderdesk", "maxAttempts": 1, "public": false},
                  {"name": "order-status", "host": "orders.example", "pathPrefix": "/status/",
                   "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 193, "priority": 2,
                   "service": "orderdesk", "maxAttempts": 2, "public": false}],
                 "services": [
                  {"name": "orderdesk", "healthPath": "/healthz", "maxConnections": 96}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                  "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                 "tenants": [%s]}
                """
                .formatted(version, list);
    }

    /** A manifest with a streaming route and two tenants, of which the first has a limit. */
    static String modelManifest(
            String tenant,
            String key,
            long ratePerSecond,
            long burst,
            String otherTenant,
            String otherKey) {
        return """
                {"version": 4,
                 "routes": [
                  {"name": "flavor-swap", "host": "orders.example", "pathPrefix": "/flavor/",
                   "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1,
                   "service": "brewnotes", "maxAttempts": 1, "public": false, "sticky": true,
                   "resumable": false, "targetGapMs": 300}],
                 "services": [
                  {"name": "brewnotes", "healthPath": "/healthz", "maxConnections": 360,
                   "engine": {"slots": 64, "kvCapacityTokens": 66719, "kvTokenBytes": 163840,
                    "linkMbps": 1600000.0, "moves": true, "backups": true, "stride": 11,
                    "most": 12, "handleTtlS": 0.5, "reconfigureS": 6.0, "pinMs": 4000.0,
                    "holdMs": 2000.0, "models": [{"name": "m"}]}}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                  "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                 "tenants": [{"name": "%s", "apiKeys": ["%s"], "unit": "token_stream",
                  "plainTokens": 200, "ratePerS": %d, "burst": %d},
                  {"name": "%s", "apiKeys": ["%s"], "unit": "token_stream", "plainTokens": 200,
                   "ratePerS": 0, "burst": 0}]}
                """
                .formatted(tenant, key, ratePerSecond, burst, otherTenant, otherKey);
    }

    /** A manifest with a route whose streams may be resumed, and one tenant without a limit. */
    static String resumableManifest(String tenant, String key) {
        return modelManifest(tenant, key, 0, 0, "other", "review-key-other")
                .replace("\"flavor-swap\"", "\"winback-draft\"")
                .replace("/flavor/", "/winback/")
                .replace("\"maxAttempts\": 1", "\"maxAttempts\": 2")
                .replace("\"resumable\": false", "\"resumable\": true");
    }
}
