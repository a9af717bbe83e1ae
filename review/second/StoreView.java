import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * The platform's store as one host sees it, with the addresses at which this host reaches the
 * workers. All else is passed on unchanged. So a path between one host and one worker can be cut on
 * a machine with one loopback address for all. Thread-safe.
 */
final class StoreView {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String SERVERS = "servers/";

    final int port = Ports.free();
    private final int mStorePort;
    private final Map<Integer, Integer> mPorts;
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * Creates a view.
     *
     * @param ports the port at which the host reaches the worker of a port
     */
    StoreView(int storePort, Map<Integer, Integer> ports) {
        mStorePort = storePort;
        mPorts = ports;
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 64);
            server.setExecutor(Executors.newCachedThreadPool(Threads2.DAEMON));
            server.createContext("/", this::pass);
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void pass(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://127.0.0.1:"
                                                    + mStorePort
                                                    + exchange.getRequestURI()))
                            .method(
                                    exchange.getRequestMethod(),
                                    HttpRequest.BodyPublishers.ofByteArray(body))
                            .build();
            HttpResponse<byte[]> response =
                    mClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
            byte[] seen = translate(response.body());
            response.headers()
                    .firstValue("Store-Era")
                    .ifPresent(era -> exchange.getResponseHeaders().set("Store-Era", era));
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(response.statusCode(), seen.length);
            exchange.getResponseBody().write(seen);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] translate(byte[] body) throws IOException {
        JsonNode root = MAPPER.readTree(body);
        if (!(root instanceof ObjectNode)) {
            return body;
        }
        root.path("items").forEach(this::translateItem);
        root.path("events").forEach(this::translateItem);
        translateItem(root);
        return MAPPER.writeValueAsBytes(root);
    }

    private void translateItem(JsonNode item) {
        if (item.path("key").asText().startsWith(SERVERS) && item.has("value")) {
            String entry =
                    new String(
                            Base64.getDecoder().decode(item.path("value").asText()),
                            StandardCharsets.UTF_8);
            for (Map.Entry<Integer, Integer> port : mPorts.entrySet()) {
                entry =
                        entry.replace(
                                "127.0.0.1:" + port.getKey() + "\"",
                                "127.0.0.1:" + port.getValue() + "\"");
            }
            ((ObjectNode) item)
                    .put(
                            "value",
                            Base64.getEncoder()
                                    .encodeToString(entry.getBytes(StandardCharsets.UTF_8)));
        }
    }
}
