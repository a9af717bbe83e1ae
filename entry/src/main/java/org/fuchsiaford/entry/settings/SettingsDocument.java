package org.fuchsiaford.entry.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.json.JsonObjectReader;
import org.fuchsiaford.json.JsonProblem;
import org.fuchsiaford.json.JsoncParser;
import org.fuchsiaford.peer.PeerAddress;

/** Parses settings documents and the addresses in them. Stateless, hence thread-safe. */
public final class SettingsDocument {
    private static final PeerAddress PLACEHOLDER_ADDRESS = new PeerAddress("0.0.0.0", 0);
    private static final int MAX_PORT = 65_535;

    private SettingsDocument() {}

    /**
     * Parses a settings document.
     *
     * @param text JSON with comments
     * @throws SettingsException if the text cannot be parsed
     */
    public static JsonNode parse(String text) throws SettingsException {
        try {
            return JsoncParser.parse(text);
        } catch (JsonProcessingException e) {
            throw new SettingsException(
                    List.of(
                            new JsonProblem(
                                    "$", "not JSON with comments: " + e.getOriginalMessage())));
        }
    }

    /**
     * Reads a required address of the form {@code ip:port}. If it is invalid, adds a problem and
     * returns a placeholder.
     */
    public static PeerAddress address(JsonObjectReader root, String field) {
        Optional<PeerAddress> address = parseAddress(root.text(field));
        if (address.isEmpty()) {
            root.addProblem(field, "must be of the form ip:port");
        }
        return address.orElse(PLACEHOLDER_ADDRESS);
    }

    /** Reads an optional list of addresses. Invalid ones are reported as problems and left out. */
    public static List<PeerAddress> addresses(JsonObjectReader root, String field) {
        List<String> texts = root.has(field) ? root.texts(field) : List.of();
        texts.stream()
                .filter(text -> parseAddress(text).isEmpty())
                .forEach(text -> root.addProblem(field, "is not of the form ip:port: " + text));
        return texts.stream()
                .map(SettingsDocument::parseAddress)
                .flatMap(Optional::stream)
                .toList();
    }

    private static Optional<PeerAddress> parseAddress(String text) {
        try {
            PeerAddress address = PeerAddress.parse(text);
            boolean validPort = address.port() > 0 && address.port() <= MAX_PORT;
            return validPort ? Optional.of(address) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
