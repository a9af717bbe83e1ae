package org.fuchsiaford.entry.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.entry.settings.SettingsDocument;
import org.fuchsiaford.entry.settings.SettingsException;
import org.fuchsiaford.json.JsonObjectReader;
import org.fuchsiaford.json.JsonProblem;
import org.fuchsiaford.json.JsoncParser;
import org.fuchsiaford.registry.RegionMap;

/**
 * Reads {@link GatewaySettings} from JSON with comments and reports all problems at once.
 * Stateless, hence thread-safe.
 */
public final class GatewaySettingsReader {
    private static final long MAX_SECONDS = 600;

    /** Shortest span that a setting in seconds may state, in seconds. */
    private static final double MIN_SPAN_SECONDS = 0.001;

    /** Window of the rate limits where none is stated. */
    private static final long DEFAULT_LIMIT_WINDOW_MILLIS = 1_000;

    /** Maximum size of a response that is kept in memory where none is stated. */
    private static final int DEFAULT_MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private static final double MIN_CORES = 0.001;
    private static final double MAX_CORES = 1_024;

    /** More retries than any fleet can send in a window. */
    private static final double MAX_RETRY_SLACK = 1e9;

    /** Returns whether a settings file names an adapter, which only this kind of settings does. */
    public static boolean isFor(String text) {
        try {
            return JsoncParser.parse(text).has("adapter");
        } catch (JsonProcessingException e) {
            // The reader of the other kind of settings reports the syntax error.
            return false;
        }
    }

    /**
     * Reads settings.
     *
     * @param text JSON with comments
     * @throws SettingsException if the settings are invalid; reports all problems
     */
    public GatewaySettings read(String text) throws SettingsException {
        List<JsonProblem> problems = new ArrayList<>();
        JsonObjectReader root = new JsonObjectReader(SettingsDocument.parse(text), "$", problems);
        GatewaySettings settings = read(root);
        root.reportUnknownFields();
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return settings;
    }

    private static GatewaySettings read(JsonObjectReader root) {
        FailureDomainId domain = new FailureDomainId(root.name("failureDomain"));
        Optional<RegionId> region =
                root.has("region")
                        ? Optional.of(new RegionId(root.text("region")))
                        : Optional.empty();
        return new GatewaySettings(
                root.name("adapter"),
                root.name("hostName"),
                domain,
                region,
                regions(root, domain, region),
                cores(root),
                SettingsDocument.address(root, "callerAddress"),
                SettingsDocument.address(root, "readinessAddress"),
                SettingsDocument.address(root, "directoryAddress"),
                SettingsDocument.address(root, "peerAddress"),
                SettingsDocument.address(root, "metricsAddress"),
                SettingsDocument.addresses(root, "seedPeers"),
                SettingsDocument.address(root, "storeAddress"),
                root.number("registrationSeconds", 1, MAX_SECONDS),
                root.number("addressLifeSeconds", 1, MAX_SECONDS),
                millis(root, "graceSeconds"),
                millis(root, "retryWindowSeconds"),
                root.fraction("retryRatio"),
                root.decimal("retrySlack", 0, MAX_RETRY_SLACK),
                root.has("limitWindowSeconds")
                        ? millis(root, "limitWindowSeconds")
                        : DEFAULT_LIMIT_WINDOW_MILLIS,
                root.number("orderLeaseSeconds", 1, MAX_SECONDS),
                root.flag("measuredStageSplit", false),
                root.has("maxResponseBytes")
                        ? (int) root.number("maxResponseBytes", 1, Integer.MAX_VALUE)
                        : DEFAULT_MAX_RESPONSE_BYTES,
                MemorySettings.read(root),
                root.flag("sharedSeats", false),
                root.flag("serverPace", false),
                root.flag("fairQueue", false));
    }

    /** Reads the regions of the failure domains; that of the host itself need not be repeated. */
    private static RegionMap regions(
            JsonObjectReader root, FailureDomainId domain, Optional<RegionId> region) {
        Map<FailureDomainId, RegionId> regions = new HashMap<>();
        if (root.has("failureDomainRegions")) {
            root.textFields("failureDomainRegions")
                    .forEach((d, r) -> regions.put(new FailureDomainId(d), new RegionId(r)));
        }
        if (region.isPresent()
                && !region.get().equals(regions.getOrDefault(domain, region.get()))) {
            root.addProblem("region", "differs from that of failureDomain in failureDomainRegions");
        }
        region.ifPresent(own -> regions.put(domain, own));
        return new RegionMap(regions);
    }

    private static double cores(JsonObjectReader root) {
        return root.decimal("processorShare", MIN_CORES, MAX_CORES)
                * root.decimal("processorCores", MIN_CORES, MAX_CORES);
    }

    private static long millis(JsonObjectReader root, String field) {
        double seconds = root.decimal(field, MIN_SPAN_SECONDS, MAX_SECONDS);
        return Math.round(seconds * TimeUnit.SECONDS.toMillis(1));
    }
}
