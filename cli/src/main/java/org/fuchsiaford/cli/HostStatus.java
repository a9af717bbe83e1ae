package org.fuchsiaford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.host.SlotRecord;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * The status that a host reports. Immutable.
 *
 * @param slot the record of the slot that the host holds
 * @param response the response of the host's status endpoint; a missing node if there is none
 */
record HostStatus(SlotRecord slot, JsonNode response) {
    private static final Duration TIMEOUT = Duration.ofMillis(1_000);
    private static final String TABLE_ROW =
            "    %-20s %8d %8d %9d %8d %8d %9.1f %9.1f %9.1f %9.1f%n";
    private static final String TABLE_HEADER =
            String.format(
                    "    %-20s %8s %8s %9s %8s %8s %9s %9s %9s %9s%n",
                    "workspace",
                    "requests",
                    "refused",
                    "prompt",
                    "cached",
                    "output",
                    "first ms",
                    "next ms",
                    "queue ms",
                    "move ms");
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /** Requests the status of the host that holds a slot. */
    static HostStatus read(SlotRecord slot) {
        String base = "http://" + slot.adminAddress();
        return new HostStatus(slot, parse(fetch(base + "/status")));
    }

    private static String fetch(String url) {
        try {
            return HttpClient.create(ConnectionProvider.newConnection())
                    .get()
                    .uri(url)
                    .responseContent()
                    .aggregate()
                    .asString()
                    .defaultIfEmpty("")
                    .block(TIMEOUT);
        } catch (RuntimeException e) {
            return "";
        }
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    /** Returns whether the host responded. */
    boolean hasResponse() {
        return response.isObject();
    }

    /** Returns whether the host serves the given generation or a later one. */
    boolean servesGeneration(Generation generation) {
        return response.path("serving").asBoolean()
                && response.path("generation").asLong() >= generation.number();
    }

    /** Returns a table of the metrics per workspace, or an empty string if there are none. */
    String workspaceTable() {
        StringBuilder table = new StringBuilder();
        for (JsonNode workspace : response.path("workspaces")) {
            if (table.isEmpty()) {
                table.append(TABLE_HEADER);
            }
            table.append(tableRow(workspace));
        }
        return table.toString();
    }

    private static String tableRow(JsonNode workspace) {
        return String.format(
                TABLE_ROW,
                workspace.path("workspace").asText(),
                workspace.path("requests").asLong(),
                workspace.path("refusals").asLong(),
                workspace.path("promptTokens").asLong(),
                workspace.path("cachedTokens").asLong(),
                workspace.path("outputTokens").asLong(),
                workspace.path("firstTokenMicros").asLong() / 1e3,
                workspace.path("betweenTokensMicros").asLong() / 1e3,
                workspace.path("queueWaitMicros").asLong() / 1e3,
                workspace.path("transferMicros").asLong() / 1e3);
    }

    /** Returns a one-line summary of the status. */
    String summary() {
        if (!hasResponse()) {
            return String.format("%-12s %-22s no response", slot.slot(), slot.callerAddress());
        }
        return String.format(
                "%-12s %-22s generation %d version %d %s, %d in flight",
                slot.slot(),
                slot.callerAddress(),
                response.path("generation").asLong(),
                response.path("bundleVersion").asLong(),
                state(),
                response.path("inFlight").asInt());
    }

    private String state() {
        if (response.path("leaving").asBoolean()) {
            return "leaving";
        }
        return response.path("serving").asBoolean() ? "serving" : "not serving";
    }

    /** Returns the status as a JSON object. */
    ObjectNode toJson() {
        ObjectNode object = Output.newObject().put("slot", slot.slot().value());
        object.put("address", slot.callerAddress()).put("answers", hasResponse());
        object.set("status", hasResponse() ? response : MAPPER.nullNode());
        return object;
    }
}
