package org.fuchsiaford.store.etcd;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.json.JsonObjectDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.StreamSupport;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.store.StoreSnapshot;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * A store client that uses the JSON gateway of etcd v3. After a call fails, later calls use the
 * next address. Thread-safe.
 */
public final class EtcdStore implements Store {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

    /** Watches end after this time, since a connection may be dead without having been closed. */
    private static final Duration MAX_WATCH_DURATION = Duration.ofMinutes(10);

    private static final int MAX_WATCH_EVENT_BYTES = 8 * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 16;

    private final JsonMapper mMapper = JsonMapper.builder().build();
    private final HttpClient mClient;
    private final HttpClient mWatchClient;
    private final List<String> mBaseUrls;
    private final AtomicInteger mBaseUrlIndex = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param baseUrls the addresses of the store, {@code http://ip:port}
     */
    public EtcdStore(List<String> baseUrls) {
        mBaseUrls = List.copyOf(baseUrls);
        ConnectionProvider connections =
                ConnectionProvider.builder("store")
                        .maxConnections(MAX_CONNECTIONS)
                        .pendingAcquireTimeout(CALL_TIMEOUT)
                        .build();
        mClient = createClient(connections);
        mWatchClient =
                createClient(ConnectionProvider.newConnection())
                        .doOnConnected(
                                connection ->
                                        connection.addHandlerLast(
                                                new JsonObjectDecoder(MAX_WATCH_EVENT_BYTES)));
    }

    private static HttpClient createClient(ConnectionProvider connections) {
        return HttpClient.create(connections)
                .disableRetry(true)
                .headers(headers -> headers.set("Content-Type", "application/json"))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CALL_TIMEOUT.toMillis());
    }

    @Override
    public Mono<StoreSnapshot> read(List<StoreKey> keys) {
        ObjectNode body = mMapper.createObjectNode();
        ArrayNode success = body.putArray("success");
        keys.forEach(key -> success.addObject().putObject("requestRange").put("key", encode(key)));
        return call(Step.READ_STORE, "/v3/kv/txn", body).map(EtcdStore::toSnapshot);
    }

    private static StoreSnapshot toSnapshot(JsonNode response) {
        List<StoreEntry> entries = new ArrayList<>();
        response.path("responses")
                .forEach(result -> addEntries(entries, rangeOf(result).path("kvs")));
        return new StoreSnapshot(revision(response), List.copyOf(entries));
    }

    /** Accepts the field of a range in either spelling. */
    private static JsonNode rangeOf(JsonNode result) {
        JsonNode snakeCase = result.path("response_range");
        return snakeCase.isMissingNode() ? result.path("responseRange") : snakeCase;
    }

    @Override
    public Mono<StoreSnapshot> readPrefix(StoreKey prefix) {
        ObjectNode body = mMapper.createObjectNode();
        body.put("key", encode(prefix)).put("range_end", encode(rangeEnd(prefix)));
        return call(Step.READ_STORE, "/v3/kv/range", body)
                .map(
                        response -> {
                            List<StoreEntry> entries = new ArrayList<>();
                            addEntries(entries, response.path("kvs"));
                            entries.sort(Comparator.comparing(entry -> entry.key().value()));
                            return new StoreSnapshot(revision(response), List.copyOf(entries));
                        });
    }

    @Override
    public Mono<Boolean> compareAndSwap(
            StoreKey key, long expectedRevision, byte[] value, StoreLeaseId lease) {
        ObjectNode body = mMapper.createObjectNode();
        body.putArray("compare")
                .addObject()
                .put("key", encode(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedRevision));
        body.putArray("success")
                .addObject()
                .putObject("requestPut")
                .put("key", encode(key))
                .put("value", Base64.getEncoder().encodeToString(value))
                .put("lease", Long.toString(lease.value()));
        return call(Step.SWAP_STORE, "/v3/kv/txn", body)
                .map(response -> response.path("succeeded").asBoolean(false));
    }

    @Override
    public Mono<StoreLeaseId> grantLease(long timeToLiveSeconds) {
        ObjectNode body = mMapper.createObjectNode();
        body.put("TTL", Long.toString(timeToLiveSeconds));
        return call(Step.LEASE_STORE, "/v3/lease/grant", body)
                .map(response -> new StoreLeaseId(response.path("ID").asLong()));
    }

    @Override
    public Mono<Boolean> keepAlive(StoreLeaseId lease) {
        ObjectNode body = mMapper.createObjectNode();
        body.put("ID", Long.toString(lease.value()));
        return call(Step.LEASE_STORE, "/v3/lease/keepalive", body)
                .map(response -> response.path("result").path("TTL").asLong() > 0);
    }

    @Override
    public Mono<Void> revokeLease(StoreLeaseId lease) {
        ObjectNode body = mMapper.createObjectNode();
        body.put("ID", Long.toString(lease.value()));
        return call(Step.LEASE_STORE, "/v3/lease/revoke", body).then();
    }

    @Override
    public Flux<StoreChange> watch(StoreKey prefix, long fromRevision) {
        ObjectNode body = mMapper.createObjectNode();
        body.putObject("create_request")
                .put("key", encode(prefix))
                .put("range_end", encode(rangeEnd(prefix)))
                .put("start_revision", Long.toString(fromRevision))
                .put("progress_notify", true);
        return Flux.defer(() -> openWatch(body))
                .take(MAX_WATCH_DURATION)
                .flatMapIterable(EtcdStore::toChanges)
                .onErrorMap(e -> toStoreException(Step.WATCH_STORE, e));
    }

    private Flux<JsonNode> openWatch(ObjectNode body) {
        return mWatchClient
                .post()
                .uri(baseUrl() + "/v3/watch")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(write(body))))
                .response((response, content) -> content.asByteArray())
                .map(this::parse);
    }

    private static List<StoreChange> toChanges(JsonNode message) {
        JsonNode events = message.path("result").path("events");
        return StreamSupport.stream(events.spliterator(), false).map(EtcdStore::toChange).toList();
    }

    private static StoreChange toChange(JsonNode event) {
        JsonNode kv = event.path("kv");
        boolean deleted = "DELETE".equals(event.path("type").asText());
        byte[] value = deleted ? null : decode(kv.path("value").asText());
        return new StoreChange(toKey(kv), value, kv.path("mod_revision").asLong());
    }

    private Mono<JsonNode> call(Step step, String path, ObjectNode body) {
        return Mono.defer(() -> post(path, body))
                .timeout(CALL_TIMEOUT)
                .doOnError(e -> mBaseUrlIndex.incrementAndGet())
                .onErrorMap(e -> toStoreException(step, e));
    }

    private Mono<JsonNode> post(String path, ObjectNode body) {
        return mClient.post()
                .uri(baseUrl() + path)
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(write(body))))
                .responseSingle(
                        (response, content) ->
                                content.asByteArray()
                                        .map(
                                                bytes ->
                                                        checkAndParse(
                                                                response.status().code(), bytes)));
    }

    private JsonNode checkAndParse(int status, byte[] bytes) {
        if (status != 200) {
            throw new IllegalStateException("HTTP status " + status);
        }
        return parse(bytes);
    }

    private String baseUrl() {
        return mBaseUrls.get(Math.floorMod(mBaseUrlIndex.get(), mBaseUrls.size()));
    }

    private static StoreException toStoreException(Step step, Throwable cause) {
        if (cause instanceof StoreException known) {
            return known;
        }
        return new StoreException(step, "no valid response: " + cause.getMessage(), cause);
    }

    private JsonNode parse(byte[] bytes) {
        try {
            return mMapper.readTree(bytes);
        } catch (IOException e) {
            throw new IllegalStateException("response is not JSON", e);
        }
    }

    private byte[] write(ObjectNode body) {
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void addEntries(List<StoreEntry> entries, JsonNode kvs) {
        kvs.forEach(
                kv ->
                        entries.add(
                                new StoreEntry(
                                        toKey(kv),
                                        decode(kv.path("value").asText()),
                                        kv.path("mod_revision").asLong())));
    }

    private static long revision(JsonNode response) {
        return response.path("header").path("revision").asLong();
    }

    private static StoreKey toKey(JsonNode kv) {
        return new StoreKey(new String(decode(kv.path("key").asText()), StandardCharsets.UTF_8));
    }

    /**
     * Returns the exclusive end of the range of a prefix: the prefix with its last character
     * incremented.
     */
    private static StoreKey rangeEnd(StoreKey prefix) {
        String text = prefix.value();
        char last = (char) (text.charAt(text.length() - 1) + 1);
        return new StoreKey(text.substring(0, text.length() - 1) + last);
    }

    private static String encode(StoreKey key) {
        return Base64.getEncoder().encodeToString(key.value().getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] decode(String base64) {
        return Base64.getDecoder().decode(base64);
    }
}
