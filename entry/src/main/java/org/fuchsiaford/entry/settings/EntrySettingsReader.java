package org.fuchsiaford.entry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.json.JsonObjectReader;
import org.fuchsiaford.json.JsonProblem;

/**
 * Reads the settings of the daemon from JSON with comments. Command-line flags override fields of
 * the same name. All problems are reported at once. Stateless, hence thread-safe.
 */
public final class EntrySettingsReader {
    private static final Set<String> LOG_LEVELS = Set.of("error", "warn", "info", "debug", "trace");

    /**
     * Reads settings.
     *
     * @param text JSON with comments
     * @param overrides values that override fields, by field name
     * @throws SettingsException if the settings are invalid; it lists all problems
     */
    public EntrySettings read(String text, Map<String, String> overrides) throws SettingsException {
        JsonNode node = SettingsDocument.parse(text);
        if (node instanceof ObjectNode object) {
            overrides.forEach(object::put);
        }
        List<JsonProblem> problems = new ArrayList<>();
        JsonObjectReader root = new JsonObjectReader(node, "$", problems);
        EntrySettings settings = read(root);
        root.reportUnknownFields();
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return settings;
    }

    private static EntrySettings read(JsonObjectReader root) {
        return new EntrySettings(
                new FailureDomainId(root.name("failureDomain")),
                SettingsDocument.address(root, "callerAddress"),
                SettingsDocument.address(root, "peerAddress"),
                SettingsDocument.address(root, "adminAddress"),
                storeUrls(root),
                root.text("hostListUrl", ""),
                SettingsDocument.addresses(root, "seedPeers"),
                root.texts("signingKeys"),
                logLevel(root),
                root.flag("logJson", false));
    }

    private static List<String> storeUrls(JsonObjectReader root) {
        List<String> urls = root.texts("storeUrls");
        if (urls.isEmpty() || !urls.stream().allMatch(url -> url.matches("http://[^/\\s]+"))) {
            root.addProblem(
                    "storeUrls", "must be a non-empty list of URLs of the form http://ip:port");
        }
        return urls;
    }

    private static String logLevel(JsonObjectReader root) {
        String level = root.text("logLevel", "info").toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(level)) {
            root.addProblem("logLevel", "must be one of error, warn, info, debug, trace");
        }
        return level;
    }
}
