package org.fuchsiaford.entry.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.json.CheckedObject;
import org.fuchsiaford.json.CommentedJson;
import org.fuchsiaford.json.JsonProblem;
import org.fuchsiaford.peer.PeerAddress;

/**
 * Reads the daemon's settings from JSON with comments. Flags replace fields of the same name. All
 * mistakes are reported at once. Stateless, hence thread-safe.
 */
public final class EntrySettingsReader {
    private static final Set<String> LOG_LEVELS = Set.of("error", "warn", "info", "debug", "trace");
    private static final PeerAddress NO_ADDRESS = new PeerAddress("0.0.0.0", 0);

    /**
     * Reads settings.
     *
     * @param text JSON with comments
     * @param overrides texts that replace fields, by field name
     * @throws SettingsException with every mistake
     */
    public EntrySettings read(String text, Map<String, String> overrides) throws SettingsException {
        JsonNode node = parse(text);
        if (node instanceof ObjectNode object) {
            overrides.forEach(object::put);
        }
        List<JsonProblem> problems = new ArrayList<>();
        CheckedObject root = new CheckedObject(node, "$", problems);
        EntrySettings settings = read(root);
        root.reportUnknownFields();
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return settings;
    }

    private static JsonNode parse(String text) throws SettingsException {
        try {
            return CommentedJson.parse(text);
        } catch (JsonProcessingException e) {
            throw new SettingsException(
                    List.of(
                            new JsonProblem(
                                    "$", "not JSON with comments: " + e.getOriginalMessage())));
        }
    }

    private static EntrySettings read(CheckedObject root) {
        return new EntrySettings(
                new FailureDomainId(root.name("failureDomain")),
                address(root, "callerAddress"),
                address(root, "peerAddress"),
                address(root, "adminAddress"),
                storeUrls(root),
                root.text("hostListUrl", ""),
                seedPeers(root),
                root.texts("signingKeys"),
                logLevel(root),
                root.flag("logJson", false));
    }

    private static PeerAddress address(CheckedObject root, String field) {
        String text = root.text(field);
        Optional<PeerAddress> address = parseAddress(text);
        if (address.isEmpty()) {
            root.problem(field, "must be of the form ip:port");
        }
        return address.orElse(NO_ADDRESS);
    }

    private static Optional<PeerAddress> parseAddress(String text) {
        try {
            PeerAddress address = PeerAddress.parse(text);
            boolean port = address.port() > 0 && address.port() < 65_536;
            return port ? Optional.of(address) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static List<String> storeUrls(CheckedObject root) {
        List<String> urls = root.texts("storeUrls");
        if (urls.isEmpty() || !urls.stream().allMatch(url -> url.matches("http://[^/\\s]+"))) {
            root.problem("storeUrls", "must list addresses of the form http://ip:port");
        }
        return urls;
    }

    private static List<PeerAddress> seedPeers(CheckedObject root) {
        List<String> texts = root.has("seedPeers") ? root.texts("seedPeers") : List.of();
        texts.stream()
                .filter(text -> parseAddress(text).isEmpty())
                .forEach(text -> root.problem("seedPeers", "holds no ip:port: " + text));
        return texts.stream()
                .map(EntrySettingsReader::parseAddress)
                .flatMap(Optional::stream)
                .toList();
    }

    private static String logLevel(CheckedObject root) {
        String level = root.text("logLevel", "info").toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(level)) {
            root.problem("logLevel", "must be one of error, warn, info, debug, trace");
        }
        return level;
    }
}
