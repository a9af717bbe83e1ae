package org.fuchsiaford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import org.fuchsiaford.host.SlotRecord;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * What a host says of itself. Immutable.
 *
 * @param slot the slot record that names the host
 * @param answer the host's answer, a missing node if it gave none
 * @param metrics the host's metrics in text form, empty if it gave none
 */
record HostStatus(SlotRecord slot, JsonNode answer, String metrics) {
    private static final Duration TIMEOUT = Duration.ofMillis(1_000);
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    static HostStatus read(SlotRecord slot) {
        String base = "http://" + slot.adminAddress();
        return new HostStatus(slot, parse(fetch(base + "/status")), fetch(base + "/metrics"));
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

    boolean answers() {
        return answer.isObject();
    }

    String line() {
        if (!answers()) {
            return String.format("%-12s %-22s no answer", slot.slot(), slot.callerAddress());
        }
        return String.format(
                "%-12s %-22s generation %d version %d %s, %d in flight",
                slot.slot(),
                slot.callerAddress(),
                answer.path("generation").asLong(),
                answer.path("bundleVersion").asLong(),
                state(),
                answer.path("inFlight").asInt());
    }

    private String state() {
        if (answer.path("leaving").asBoolean()) {
            return "leaving";
        }
        return answer.path("serving").asBoolean() ? "serving" : "not serving";
    }

    ObjectNode object() {
        ObjectNode object = Output.object().put("slot", slot.slot().value());
        object.put("address", slot.callerAddress()).put("answers", answers());
        object.set("status", answers() ? answer : MAPPER.nullNode());
        return object;
    }
}
