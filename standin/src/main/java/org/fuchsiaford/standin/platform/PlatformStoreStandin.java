package org.fuchsiaford.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import org.fuchsiaford.standin.FaultMode;
import org.fuchsiaford.standin.Json;
import org.fuchsiaford.standin.Standin;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * An in-memory stand-in for the store of the users' platform, with revisions, long-polling watches,
 * transactions, leases, drills in which it is restored from a copy, and fault injection.
 * Thread-safe.
 */
public final class PlatformStoreStandin implements Standin {
    private static final Duration WATCH_POLL = Duration.ofMillis(5);
    private static final Duration EXPIRY_POLL = Duration.ofMillis(50);
    private static final String JSON_KEY = "key";
    private static final String ERA_HEADER = "Store-Era";

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 1;
    private long mLastLease;
    private long mCalls;
    private long mCompactedRevision;
    private long mEra = 1;
    private final Set<Channel> mConnections = ConcurrentHashMap.newKeySet();
    private final Set<Channel> mSilentConnections = ConcurrentHashMap.newKeySet();
    private volatile FaultMode mFault = FaultMode.NONE;
    private volatile Duration mDelay = Duration.ZERO;

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision) {}

    private record Lease(long ttlMillis, long deadlineNanos) {}

    /** A copy of the content of the store at one moment. Immutable. */
    public static final class Copy {
        private final Map<String, Item> mItems;
        private final Map<Long, Lease> mLeases;
        private final long mRevision;
        private final long mLastLease;

        private Copy(
                Map<String, Item> items, Map<Long, Lease> leases, long revision, long lastLease) {
            mItems = Map.copyOf(items);
            mLeases = Map.copyOf(leases);
            mRevision = revision;
            mLastLease = lastLease;
        }
    }

    /** Sets the fault to simulate for subsequent calls. */
    public void setFault(FaultMode fault) {
        mFault = fault;
    }

    /** Sets the delay of subsequent responses. */
    public void setDelay(Duration delay) {
        mDelay = delay;
    }

    /** Lets the open connections fall silent for good; new ones work. */
    public void silenceOpenConnections() {
        mSilentConnections.addAll(mConnections);
    }

    /** Writes a key without a lease, as an operator or a backend server would. */
    public synchronized void put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        put(key, Base64.getEncoder().encodeToString(bytes), 0);
    }

    /** Removes a key, as an operator or a backend server would. */
    public synchronized void remove(String key) {
        mItems.remove(key);
        mEvents.add(new Event(key, null, ++mRevision));
    }

    /** Discards the event history; watches from an earlier revision fail with status 410. */
    public synchronized void compactHistory() {
        mEvents.clear();
        mCompactedRevision = mRevision;
    }

    /** Copies the content, for a later drill. */
    public synchronized Copy copy() {
        return new Copy(mItems, mLeases, mRevision, mLastLease);
    }

    /**
     * Restores the content from a copy and begins a new era, in which revisions and leases are
     * numbered again from those of the copy.
     */
    public synchronized void restore(Copy copy) {
        mItems.clear();
        mItems.putAll(copy.mItems);
        mLeases.clear();
        copy.mLeases.forEach((id, lease) -> mLeases.put(id, lease(lease.ttlMillis())));
        mEvents.clear();
        mRevision = copy.mRevision;
        mCompactedRevision = copy.mRevision;
        mLastLease = copy.mLastLease;
        mEra++;
    }

    /** Returns the keys that start with a prefix. */
    public synchronized List<String> keys(String prefix) {
        return mItems.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Returns the number of executed calls, not counting watches. */
    public synchronized long calls() {
        return mCalls;
    }

    private void put(String key, String value, long lease) {
        mRevision++;
        Item previous = mItems.get(key);
        Item item =
                new Item(
                        value, mRevision, previous == null ? mRevision : previous.created(), lease);
        mItems.put(key, item);
        mEvents.add(new Event(key, item, mRevision));
    }

    @Override
    public DisposableServer start(int port) {
        DisposableServer server =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(port)
                        .doOnConnection(this::track)
                        .route(
                                routes ->
                                        routes.get("/api/kv-key", call(this::readKey))
                                                .get("/api/kv-range", call(this::readRange))
                                                .get("/api/kv-watch", this::watch)
                                                .post("/api/kv-txn", call(this::transact))
                                                .post("/api/kv-lease", call(this::grantLease))
                                                .post("/api/kv-keep/{id}", call(this::keepAlive))
                                                .delete(
                                                        "/api/kv-lease-end/{id}",
                                                        call(this::revokeLease)))
                        .bindNow();
        Flux.interval(EXPIRY_POLL)
                .takeWhile(tick -> !server.isDisposed())
                .subscribe(tick -> expire(System.nanoTime()));
        return server;
    }

    private void track(Connection connection) {
        mConnections.add(connection.channel());
        connection.onDispose(() -> mConnections.remove(connection.channel()));
    }

    private boolean isSilent(HttpServerResponse response) {
        Channel[] channel = new Channel[1];
        response.withConnection(connection -> channel[0] = connection.channel());
        return mSilentConnections.contains(channel[0]);
    }

    private record Reply(int status, ObjectNode body) {}

    private interface Operation {
        Reply execute(HttpServerRequest request, JsonNode body);
    }

    private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> call(
            Operation operation) {
        return (request, response) ->
                Json.body(request)
                        .flatMap(
                                body -> {
                                    if (mFault == FaultMode.SILENT) {
                                        return Mono.never();
                                    }
                                    Reply reply =
                                            mFault == FaultMode.DOWN
                                                    ? new Reply(503, Json.object())
                                                    : executeAndCount(operation, request, body);
                                    return mFault == FaultMode.LOSE_REPLIES
                                            ? Mono.never()
                                            : send(response, reply);
                                });
    }

    private synchronized Reply executeAndCount(
            Operation operation, HttpServerRequest request, JsonNode body) {
        mCalls++;
        return operation.execute(request, body);
    }

    private static String parameter(HttpServerRequest request, String name) {
        List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    private Reply readKey(HttpServerRequest request, JsonNode body) {
        String key = parameter(request, JSON_KEY);
        Item item = mItems.get(key);
        ObjectNode reply = item == null ? Json.object() : describe(key, item);
        reply.put("currentRev", mRevision);
        return new Reply(item == null ? 404 : 200, reply);
    }

    private Reply readRange(HttpServerRequest request, JsonNode body) {
        String prefix = parameter(request, "pathPrefix");
        ObjectNode reply = Json.object().put("hasMore", false).put("currentRev", mRevision);
        ArrayNode items = reply.putArray("items");
        mItems.forEach(
                (key, item) -> {
                    if (key.startsWith(prefix)) {
                        items.add(describe(key, item));
                    }
                });
        return new Reply(200, reply);
    }

    private static ObjectNode describe(String key, Item item) {
        return Json.object()
                .put(JSON_KEY, key)
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private Publisher<Void> watch(HttpServerRequest request, HttpServerResponse response) {
        String prefix = parameter(request, "pathPrefix");
        long after = Long.parseLong(parameter(request, "after"));
        Duration timeout = Duration.ofMillis(Long.parseLong(parameter(request, "waitMs")));
        return Flux.interval(Duration.ZERO, WATCH_POLL)
                .onBackpressureDrop()
                .filter(tick -> mFault == FaultMode.NONE)
                .map(tick -> watchReply(prefix, after))
                .filter(reply -> reply.status() != 200 || !reply.body().path("events").isEmpty())
                .next()
                .timeout(timeout, Mono.defer(() -> emptyWatchReply(prefix, after)))
                .flatMap(reply -> send(response, reply));
    }

    private Mono<Reply> emptyWatchReply(String prefix, long after) {
        return switch (mFault) {
            case NONE -> Mono.just(watchReply(prefix, after));
            case DOWN -> Mono.just(new Reply(503, Json.object()));
            default -> Mono.never();
        };
    }

    private Mono<Void> send(HttpServerResponse response, Reply reply) {
        if (isSilent(response)) {
            return Mono.never();
        }
        long era = era();
        return Mono.delay(mDelay)
                .then(
                        Mono.defer(
                                () ->
                                        Mono.from(
                                                Json.send(
                                                        response.header(
                                                                ERA_HEADER, Long.toString(era)),
                                                        reply.status(),
                                                        reply.body()))));
    }

    private synchronized long era() {
        return mEra;
    }

    private synchronized Reply watchReply(String prefix, long after) {
        return after < mCompactedRevision || after > mRevision
                ? new Reply(410, Json.object())
                : new Reply(200, events(prefix, after));
    }

    private synchronized ObjectNode events(String prefix, long after) {
        ObjectNode reply = Json.object();
        ArrayNode events = reply.putArray("events");
        mEvents.stream()
                .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                .forEach(
                        event ->
                                events.add(
                                        event.item() == null
                                                ? Json.object()
                                                        .put(JSON_KEY, event.key())
                                                        .put("revision", event.revision())
                                                        .put("deleted", true)
                                                : describe(event.key(), event.item())));
        return reply.put("currentRev", Math.max(after, mRevision));
    }

    private Reply transact(HttpServerRequest request, JsonNode body) {
        for (JsonNode condition : body.path("precondition")) {
            Item item = mItems.get(condition.path(JSON_KEY).asText());
            long revision = item == null ? 0 : item.revision();
            if (revision != condition.path("revision").asLong()) {
                return new Reply(412, Json.object());
            }
        }
        for (JsonNode put : body.path("puts")) {
            long lease = put.path("lease").asLong(0);
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return new Reply(404, Json.object());
            }
            put(put.path(JSON_KEY).asText(), put.path("value").asText(), lease);
        }
        body.path("remove").forEach(key -> remove(key.asText()));
        return new Reply(200, Json.object().put("revision", mRevision));
    }

    private Reply grantLease(HttpServerRequest request, JsonNode body) {
        long ttlMillis = body.path("ttlMs").asLong();
        mLeases.put(++mLastLease, lease(ttlMillis));
        return new Reply(200, Json.object().put("lease", mLastLease).put("ttlMs", ttlMillis));
    }

    private static Lease lease(long ttlMillis) {
        return new Lease(ttlMillis, System.nanoTime() + Duration.ofMillis(ttlMillis).toNanos());
    }

    private Reply keepAlive(HttpServerRequest request, JsonNode body) {
        long id = Long.parseLong(request.param("id"));
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return new Reply(404, Json.object());
        }
        mLeases.put(id, lease(lease.ttlMillis()));
        return new Reply(200, Json.object().put("ttlMs", lease.ttlMillis()));
    }

    private Reply revokeLease(HttpServerRequest request, JsonNode body) {
        long id = Long.parseLong(request.param("id"));
        boolean known = mLeases.remove(id) != null;
        removeKeysOf(List.of(id));
        return new Reply(known ? 200 : 404, Json.object());
    }

    private synchronized void expire(long nowNanos) {
        List<Long> expired =
                mLeases.entrySet().stream()
                        .filter(e -> nowNanos - e.getValue().deadlineNanos() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(mLeases::remove);
        removeKeysOf(expired);
    }

    private void removeKeysOf(List<Long> leases) {
        mItems.entrySet().stream()
                .filter(e -> leases.contains(e.getValue().lease()))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
    }
}
