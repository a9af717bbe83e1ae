package org.fuchsiaford.standin.service;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fuchsiaford.standin.FaultMode;
import org.fuchsiaford.standin.FaultModes;
import org.fuchsiaford.standin.Json;
import org.fuchsiaford.standin.Standin;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A stand-in for a plain service that echoes requests. It records every execution with all headers,
 * so that tests can count executions and check for leaked keys; {@code GET /standin/seen} returns
 * the records. Thread-safe.
 */
public final class ServiceStandin implements Standin {
    private static final Duration CLOSE_DELAY = Duration.ofMillis(20);

    private final List<ObjectNode> mExecutions = new CopyOnWriteArrayList<>();
    private final String mName;
    private volatile FaultMode mFault = FaultMode.NONE;
    private volatile Duration mDelay = Duration.ZERO;

    /** Creates a service that is not started yet. */
    public ServiceStandin(String name) {
        mName = name;
    }

    /** Sets the fault to simulate for subsequent requests. */
    public void setFault(FaultMode fault) {
        mFault = fault;
    }

    /** Sets the time from execution to response. */
    public void setDelay(Duration delay) {
        mDelay = delay;
    }

    /** Returns the executed requests, in order. */
    public List<ObjectNode> executions() {
        return List.copyOf(mExecutions);
    }

    @Override
    public DisposableServer start(int port) {
        return HttpServer.create().host("127.0.0.1").port(port).handle(this::handle).bindNow();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return switch (request.uri()) {
            case "/standin/seen" -> sendExecutions(response);
            case "/standin/fault" -> changeFault(request, response);
            default -> execute(request, response);
        };
    }

    private Publisher<Void> sendExecutions(HttpServerResponse response) {
        ObjectNode reply = Json.object();
        ArrayNode executions = reply.putArray("seen");
        mExecutions.forEach(executions::add);
        return Json.send(response, 200, reply);
    }

    private Publisher<Void> changeFault(HttpServerRequest request, HttpServerResponse response) {
        return Json.body(request)
                .doOnNext(
                        body -> {
                            mFault = FaultModes.parse(body.path("mode").asText("none"));
                            mDelay = Duration.ofMillis(body.path("delayMillis").asLong(0));
                        })
                .flatMap(body -> Mono.from(Json.send(response, 200, Json.object())));
    }

    private Publisher<Void> execute(HttpServerRequest request, HttpServerResponse response) {
        if (mFault == FaultMode.SILENT) {
            return Mono.never();
        }
        if (mFault == FaultMode.DOWN) {
            return Json.send(response, 503, Json.object());
        }
        return request.receive()
                .aggregate()
                .asString()
                .defaultIfEmpty("")
                .flatMap(body -> respond(record(request, body), response));
    }

    private ObjectNode record(HttpServerRequest request, String body) {
        ObjectNode execution = Json.object();
        execution.put("server", mName).put("method", request.method().name());
        execution.put("uri", request.uri()).put("body", body);
        ObjectNode headers = execution.putObject("headers");
        request.requestHeaders().forEach(header -> headers.put(header.getKey(), header.getValue()));
        mExecutions.add(execution);
        return execution;
    }

    private Mono<Void> respond(ObjectNode execution, HttpServerResponse response) {
        if (mFault == FaultMode.LOSE_REPLIES) {
            return Mono.never();
        }
        if (mFault == FaultMode.BREAK_ANSWERS) {
            return Mono.delay(CLOSE_DELAY)
                    .doOnNext(
                            tick ->
                                    response.withConnection(
                                            connection -> connection.channel().close()))
                    .then();
        }
        ObjectNode reply = Json.object();
        reply.put("server", mName).put("execution", mExecutions.size());
        reply.put("echo", execution.path("body").asText());
        Mono<Void> sent = Mono.defer(() -> Mono.from(Json.send(response, 200, reply)));
        return mDelay.isZero() ? sent : Mono.delay(mDelay).then(sent);
    }
}
