package org.fuchsiaford.entry.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.entry.settings.SettingsException;
import org.fuchsiaford.json.CheckedObject;
import org.fuchsiaford.json.CommentedJson;
import org.fuchsiaford.json.JsonProblem;
import org.fuchsiaford.peer.PeerAddress;

/**
 * Reads {@link GatewaySettings} from JSON with comments and reports all mistakes at once.
 * Stateless, hence thread-safe.
 */
public final class GatewaySettingsReader {
    private static final PeerAddress NO_ADDRESS = new PeerAddress("0.0.0.0", 0);
    private static final long MAX_MILLIS = 600_000;
    private static final long MAX_SECONDS = 600;

    /** Returns whether a settings file chooses an adapter, and so this kind of settings. */
    public static boolean isFor(String text) {
        try {
            return CommentedJson.parse(text).has("adapter");
        } catch (JsonProcessingException e) {
            // The reader of the other kind reports what is wrong with the text.
            return false;
        }
    }

    /**
     * Reads settings.
     *
     * @param text JSON with comments
     * @throws SettingsException with every mistake
     */
    public GatewaySettings read(String text) throws SettingsException {
        List<JsonProblem> problems = new ArrayList<>();
        CheckedObject root = new CheckedObject(parse(text), "$", problems);
        GatewaySettings settings = read(root);
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

    private static GatewaySettings read(CheckedObject root) {
        return new GatewaySettings(
                root.name("adapter"),
                root.name("hostName"),
                new FailureDomainId(root.name("failureDomain")),
                address(root, "callerAddress"),
                address(root, "readinessAddress"),
                address(root, "directoryAddress"),
                address(root, "peerAddress"),
                address(root, "metricsAddress"),
                seeds(root),
                address(root, "storeAddress"),
                root.number("registrationSeconds", 1, MAX_SECONDS),
                root.number("addressLifeSeconds", 1, MAX_SECONDS),
                root.number("graceMillis", 1, MAX_MILLIS),
                root.number("retryWindowMillis", 1, MAX_MILLIS),
                root.fraction("retryRatio"),
                root.number("retrySlack", 0, Integer.MAX_VALUE),
                root.number("orderLeaseSeconds", 1, MAX_SECONDS));
    }

    private static PeerAddress address(CheckedObject root, String field) {
        Optional<PeerAddress> address = parseAddress(root.text(field));
        if (address.isEmpty()) {
            root.problem(field, "must be of the form ip:port");
        }
        return address.orElse(NO_ADDRESS);
    }

    private static Optional<PeerAddress> parseAddress(String text) {
        try {
            return Optional.of(PeerAddress.parse(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static List<PeerAddress> seeds(CheckedObject root) {
        List<String> texts = root.texts("seedPeers");
        texts.stream()
                .filter(text -> parseAddress(text).isEmpty())
                .forEach(text -> root.problem("seedPeers", "holds no ip:port: " + text));
        return texts.stream()
                .map(GatewaySettingsReader::parseAddress)
                .flatMap(Optional::stream)
                .toList();
    }
}
