package org.fuchsiaford.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Reads and writes the JSON bodies of stand-ins. Thread-safe. */
public final class Json {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private Json() {}

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a document.
     *
     * @throws UncheckedIOException if the document is not JSON
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads the body of a request; an empty body is read as an empty object. */
    public static Mono<JsonNode> body(HttpServerRequest request) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .map(Json::parse)
                .defaultIfEmpty(object());
    }

    /** Sends a response with a JSON body. */
    public static Publisher<Void> send(HttpServerResponse response, int status, JsonNode body) {
        return response.status(status)
                .header("Content-Type", "application/json")
                .sendString(Mono.just(body.toString()));
    }
}
