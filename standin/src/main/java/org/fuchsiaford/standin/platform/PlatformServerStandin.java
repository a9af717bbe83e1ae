package org.fuchsiaford.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.fuchsiaford.standin.Json;
import org.fuchsiaford.standin.Standin;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Stands in for a backend server on the users' platform: a plain service, or a model engine that
 * reads prompts and streams numbered events. It records every run. Thread-safe.
 */
public final class PlatformServerStandin implements Standin {
    /** Events of a whole stream. */
    public static final int STREAM_EVENTS = 6;

    /** Events after which a stream breaks off, in the middle of the next one. */
    public static final int EVENTS_BEFORE_BREAK = 2;

    private static final Duration EVENT_GAP = Duration.ofMillis(20);
    private static final String BODY = "answer of ";

    private final String mId;
    private final List<Run> mRuns = new CopyOnWriteArrayList<>();
    private final List<Order> mOrders = new CopyOnWriteArrayList<>();
    private final AtomicInteger mPrefillCount = new AtomicInteger();
    private final AtomicInteger mActiveRequests = new AtomicInteger();
    private volatile String mStage = "";
    private volatile Duration mPrefillDelay = Duration.ZERO;
    private volatile ServerBehaviour mBehaviour = ServerBehaviour.ANSWER;

    /**
     * One run of a request.
     *
     * @param request the caller's id
     * @param uri path and query
     * @param headers all headers
     */
    public record Run(String request, String uri, HttpHeaders headers) {}

    /**
     * An order that was accepted.
     *
     * @param stage the part that the engine shall take
     * @param holder who gave it
     * @param fence the holder's fencing token
     */
    public record Order(String stage, String holder, long fence) {}

    /**
     * Creates a server.
     *
     * @param id its id in the registry
     */
    public PlatformServerStandin(String id) {
        mId = id;
    }

    /** Sets what it does with requests from now on. */
    public void setBehaviour(ServerBehaviour behaviour) {
        mBehaviour = behaviour;
    }

    /** Sets how long it takes to read a prompt for another engine. */
    public void setPrefillDelay(Duration delay) {
        mPrefillDelay = delay;
    }

    /** Returns the runs so far, in order. */
    public List<Run> runs() {
        return List.copyOf(mRuns);
    }

    /** Sets the part that an engine reports; orders do not change it. */
    public void setStage(String stage) {
        mStage = stage;
    }

    /** Returns the orders that it has accepted. */
    public List<Order> orders() {
        return List.copyOf(mOrders);
    }

    /** Returns how many prompts it has read for other engines. */
    public int prefillCount() {
        return mPrefillCount.get();
    }

    /** Returns how many requests it is working on. */
    public int activeRequests() {
        return mActiveRequests.get();
    }

    @Override
    public DisposableServer start(int port) {
        return HttpServer.create().host("127.0.0.1").port(port).handle(this::handle).bindNow();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        HttpHeaders headers = request.requestHeaders();
        String expected = headers.get("Fuchsiaford-Expect-Instance");
        if (expected != null && !expected.equals(mId)) {
            return response.status(421).header("Fuchsiaford-Instance-Id", mId).send();
        }
        if (request.uri().equals("/api/report")) {
            return Json.send(response, 200, report());
        }
        if (request.uri().equals("/api/order")) {
            return Json.body(request).flatMap(body -> order(response, body));
        }
        if (mBehaviour == ServerBehaviour.REJECT) {
            return response.status(503).header("Fuchsiaford-Not-Executed", "1").send();
        }
        if ("prefill".equals(headers.get("Fuchsiaford-Stage"))) {
            mPrefillCount.incrementAndGet();
            return Mono.delay(mPrefillDelay)
                    .thenMany(
                            Json.send(
                                    response,
                                    200,
                                    Json.object().put("transferHandle", "handle-" + mId)));
        }
        return request.receive().aggregate().then().then(run(request, response));
    }

    private ObjectNode report() {
        return Json.object().put("stage", mStage).put("busy", false).put("seq", mOrders.size());
    }

    private synchronized Mono<Void> order(HttpServerResponse response, JsonNode body) {
        if (body.path("precondition").asInt(mOrders.size()) != mOrders.size()) {
            return Mono.from(Json.send(response, 409, Json.object()));
        }
        mOrders.add(
                new Order(
                        body.path("stage").asText(),
                        body.path("holder").asText(),
                        body.path("fence").asLong()));
        return Mono.from(Json.send(response, 202, Json.object()));
    }

    private Mono<Void> run(HttpServerRequest request, HttpServerResponse response) {
        return Mono.defer(
                        () -> {
                            HttpHeaders headers = request.requestHeaders();
                            String id = headers.get("Fuchsiaford-Request-Id");
                            mRuns.add(new Run(id, request.uri(), headers));
                            mActiveRequests.incrementAndGet();
                            boolean other = mBehaviour == ServerBehaviour.WRONG_REQUEST;
                            response.header("Fuchsiaford-Request-Id", other ? "another" : id)
                                    .header("Fuchsiaford-Server-Signature", "signed-by-" + mId);
                            return answer(request, response);
                        })
                .doFinally(signal -> mActiveRequests.decrementAndGet());
    }

    private Mono<Void> answer(HttpServerRequest request, HttpServerResponse response) {
        ServerBehaviour behaviour = mBehaviour;
        return switch (behaviour) {
            case HANG -> Mono.never();
            case LOSE_ANSWER -> close(response);
            case ERROR -> response.status(500).sendString(Mono.just("error")).then();
            default ->
                    request.requestHeaders().contains("Fuchsiaford-Token-Counts")
                            ? stream(request, response, behaviour)
                            : plain(response, behaviour);
        };
    }

    private Mono<Void> plain(HttpServerResponse response, ServerBehaviour behaviour) {
        String body = BODY + mId;
        if (behaviour == ServerBehaviour.BREAK_OFF) {
            response.header("Content-Length", Integer.toString(body.length() + 1));
            return send(response, Flux.just(bytes(body))).then(close(response));
        }
        return response.sendString(Mono.just(body)).then();
    }

    private Mono<Void> stream(
            HttpServerRequest request, HttpServerResponse response, ServerBehaviour behaviour) {
        String last = request.requestHeaders().get("Last-Event-Id", "0");
        int first = Integer.parseInt(last) + 1;
        boolean breaks = behaviour == ServerBehaviour.BREAK_OFF;
        int count = breaks ? EVENTS_BEFORE_BREAK : STREAM_EVENTS - first + 1;
        Flux<byte[]> events =
                Flux.fromStream(IntStream.range(first, first + count).boxed())
                        .map(PlatformServerStandin::event)
                        .delayElements(EVENT_GAP);
        response.header("Content-Type", "text/event-stream");
        if (behaviour == ServerBehaviour.STALL) {
            return send(response, events.take(EVENTS_BEFORE_BREAK).concatWith(Flux.never()));
        }
        return breaks
                ? send(response, events.concatWith(Mono.just(bytes("id: 9\nda"))))
                        .then(close(response))
                : send(response, events);
    }

    private static Mono<Void> send(HttpServerResponse response, Flux<byte[]> events) {
        return response.send(events.map(Unpooled::wrappedBuffer), buffer -> true).then();
    }

    private static byte[] event(int number) {
        return bytes("id: " + number + "\ndata: token-" + number + "\n\n");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Mono<Void> close(HttpServerResponse response) {
        return Mono.fromRunnable(
                () -> response.withConnection(connection -> connection.channel().close()));
    }
}
