package org.fuchsiaford.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import org.fuchsiaford.standin.FaultMode;
import org.fuchsiaford.standin.FaultModes;
import org.fuchsiaford.standin.Json;
import org.fuchsiaford.standin.Standin;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * An in-memory stand-in for the platform's key-value service, with the calls of the etcd v3 JSON
 * gateway that the project uses. {@code POST /standin/fault} with a body such as {@code {"mode":
 * "down"}} simulates a fault. Thread-safe.
 */
public final class StoreStandin implements Standin {
    private static final Duration WATCH_POLL = Duration.ofMillis(5);
    private static final Duration WATCH_PROGRESS_PERIOD = Duration.ofMillis(1_000);
    private static final Duration EXPIRY_POLL = Duration.ofMillis(100);

    private final KeyValueState mState = new KeyValueState();
    private final AtomicBoolean mLoseNextWriteReply = new AtomicBoolean();
    private volatile FaultMode mFault = FaultMode.NONE;

    /** Sets the fault to simulate for subsequent calls. */
    public void setFault(FaultMode fault) {
        mFault = fault;
    }

    /** Makes the store execute the next write without sending a reply. */
    public void loseNextWriteReply() {
        mLoseNextWriteReply.set(true);
    }

    /** Returns the number of executed calls. */
    public long calls() {
        return mState.calls();
    }

    @Override
    public DisposableServer start(int port) {
        DisposableServer server =
                HttpServer.create().host("127.0.0.1").port(port).route(this::addRoutes).bindNow();
        Flux.interval(EXPIRY_POLL)
                .takeWhile(tick -> !server.isDisposed())
                .filter(tick -> mFault != FaultMode.DOWN)
                .subscribe(tick -> mState.expire(System.nanoTime()));
        return server;
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.post("/v3/kv/range", call((body, now) -> mState.range(body)))
                .post("/v3/kv/txn", call((body, now) -> mState.transact(body)))
                .post(
                        "/v3/lease/grant",
                        call((body, now) -> mState.grantLease(body.path("TTL").asLong(), now)))
                .post(
                        "/v3/lease/keepalive",
                        call((body, now) -> mState.keepAlive(body.path("ID").asLong(), now)))
                .post("/v3/watch", this::watch)
                .post("/standin/fault", this::changeFault)
                .get(
                        "/standin/calls",
                        (request, response) ->
                                Json.send(response, 200, Json.object().put("calls", calls())));
    }

    private Publisher<Void> changeFault(HttpServerRequest request, HttpServerResponse response) {
        return Json.body(request)
                .doOnNext(body -> mFault = FaultModes.parse(body.path("mode").asText()))
                .flatMap(body -> Mono.from(Json.send(response, 200, Json.object())));
    }

    private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> call(
            BiFunction<JsonNode, Long, ObjectNode> operation) {
        return (request, response) ->
                Json.body(request).flatMap(body -> execute(operation, body, response));
    }

    private Mono<Void> execute(
            BiFunction<JsonNode, Long, ObjectNode> operation,
            JsonNode body,
            HttpServerResponse response) {
        boolean isWrite = body.path("success").path(0).has("requestPut");
        if (isWrite && mLoseNextWriteReply.compareAndSet(true, false)) {
            operation.apply(body, System.nanoTime());
            return Mono.never();
        }
        return switch (mFault) {
            case DOWN -> Mono.from(Json.send(response, 503, Json.object()));
            case SILENT -> Mono.never();
            case LOSE_REPLIES -> {
                operation.apply(body, System.nanoTime());
                yield Mono.never();
            }
            case NONE, BREAK_ANSWERS ->
                    Mono.from(Json.send(response, 200, operation.apply(body, System.nanoTime())));
        };
    }

    private Publisher<Void> watch(HttpServerRequest request, HttpServerResponse response) {
        return Json.body(request)
                .flatMap(
                        body ->
                                response.header("Content-Type", "application/json")
                                        .sendString(events(body.path("create_request")))
                                        .then());
    }

    private Flux<String> events(JsonNode watch) {
        long startRevision = watch.path("start_revision").asLong();
        AtomicLong nextRevision =
                new AtomicLong(startRevision > 0 ? startRevision : mState.revision() + 1);
        Flux<String> changes =
                Flux.interval(WATCH_POLL)
                        .onBackpressureDrop()
                        .takeWhile(tick -> mFault != FaultMode.DOWN)
                        .filter(tick -> mFault == FaultMode.NONE)
                        .concatMap(tick -> Mono.justOrEmpty(nextEvents(watch, nextRevision)));
        Flux<String> progress =
                Flux.interval(Duration.ZERO, WATCH_PROGRESS_PERIOD)
                        .onBackpressureDrop()
                        .takeWhile(tick -> mFault != FaultMode.DOWN)
                        .filter(tick -> mFault == FaultMode.NONE)
                        .map(tick -> "{\"result\":{}}\n");
        return Flux.merge(changes, progress);
    }

    private String nextEvents(JsonNode watch, AtomicLong nextRevision) {
        long upTo = mState.revision();
        ObjectNode message = mState.changes(watch, nextRevision.get());
        if (message == null) {
            return null;
        }
        nextRevision.set(Math.max(upTo, lastRevision(message)) + 1);
        return message + "\n";
    }

    private static long lastRevision(ObjectNode message) {
        JsonNode events = message.path("result").path("events");
        return events.get(events.size() - 1).path("kv").path("mod_revision").asLong();
    }
}
