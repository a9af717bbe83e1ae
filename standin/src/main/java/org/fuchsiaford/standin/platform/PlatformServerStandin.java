package org.fuchsiaford.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
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
 * A stand-in for a backend server on the users' platform: a plain service, or a model engine that
 * prefills prompts and streams numbered events. It records every execution. Thread-safe.
 */
public final class PlatformServerStandin implements Standin {
    /** The number of events in a complete stream. */
    public static final int STREAM_EVENTS = 6;

    /** The number of complete events before an interrupted stream ends, within the next event. */
    public static final int EVENTS_BEFORE_BREAK = 2;

    /** The start of the first run of a server, in Unix milliseconds. */
    public static final long FIRST_START_MILLIS = 1;

    private static final Duration EVENT_GAP = Duration.ofMillis(20);
    private static final Duration CRASH_DELAY = Duration.ofMillis(30);
    private static final String BODY_PREFIX = "answer of ";

    private final String mId;
    private final List<Execution> mExecutions = new CopyOnWriteArrayList<>();
    private final List<Order> mOrders = new CopyOnWriteArrayList<>();
    private final AtomicInteger mPrefillCount = new AtomicInteger();
    private final AtomicInteger mActiveRequests = new AtomicInteger();
    private final AtomicInteger mTurnedAwayCount = new AtomicInteger();
    private final AtomicInteger mLostReports = new AtomicInteger();
    private volatile String mStage = "";
    private volatile Duration mPrefillDelay = Duration.ZERO;
    private volatile ServerBehaviour mBehaviour = ServerBehaviour.ANSWER;
    private final Map<String, Long> mWorkEndsNanos = new ConcurrentHashMap<>();
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();
    private volatile Function<String, Duration> mPlainTime = uri -> Duration.ZERO;
    private volatile Function<String, Duration> mStreamTime =
            uri -> EVENT_GAP.multipliedBy(STREAM_EVENTS);
    private volatile Function<String, Events> mEvents = uri -> new Events(STREAM_EVENTS, 0);
    private volatile boolean mOnlyStreams;
    private volatile String mCrashingPart = "";
    private volatile String mCrashingBody = "";
    private volatile String mRetryAfter = "";
    private volatile String mLimit = "";
    private final List<Long> mArrivalsNanos = new CopyOnWriteArrayList<>();
    private volatile long mStartedMillis = FIRST_START_MILLIS;
    private volatile boolean mLeaving;
    private volatile long mSilentUntilNanos = System.nanoTime();
    private volatile DisposableServer mServer;

    /**
     * An execution of a request.
     *
     * @param request the ID of the request
     * @param uri the path and query
     * @param headers the request headers
     */
    public record Execution(String request, String uri, HttpHeaders headers) {}

    /**
     * The events of a stream.
     *
     * @param count the number of events
     * @param fillBytes the length of what is added to the data of each event
     */
    public record Events(int count, int fillBytes) {
        /** Returns the events from one number on. */
        Stream<byte[]> from(int first) {
            return IntStream.rangeClosed(first, count).mapToObj(number -> event(number, fillBytes));
        }

        /** Returns the body of the whole stream. */
        public String body() {
            return from(1).map(e -> new String(e, StandardCharsets.UTF_8))
                    .collect(Collectors.joining());
        }
    }

    /**
     * An accepted order to change the stage of an engine.
     *
     * @param stage the stage that the engine is to run, such as {@code prefill}
     * @param holder the host that sent the order
     * @param fence the fencing token of the holder
     */
    public record Order(String stage, String holder, long fence) {}

    /**
     * Creates a server that is not started yet.
     *
     * @param id the ID of the server in the registry
     */
    public PlatformServerStandin(String id) {
        mId = id;
    }

    /** Returns the ID of the server in the registry. */
    public String id() {
        return mId;
    }

    /** Sets how subsequent requests are handled. */
    public void setBehaviour(ServerBehaviour behaviour) {
        mBehaviour = behaviour;
    }

    /** Sets the duration of a prefill for another engine. */
    public void setPrefillDelay(Duration delay) {
        mPrefillDelay = delay;
    }

    /**
     * Sets how long requests take: a plain one until its response, a stream from first to last
     * event.
     *
     * @param workTime returns the time for the path and query of a request
     */
    public void setWorkTime(Function<String, Duration> workTime) {
        mPlainTime = workTime;
        mStreamTime = workTime;
    }

    /**
     * Lets this server answer all requests by streams, also those without token counts.
     *
     * @param events returns the events for the path and query of a request
     */
    public void setEvents(Function<String, Events> events) {
        mEvents = events;
        mOnlyStreams = true;
    }

    /** Sets the part of a prompt that crashes this server once it sends the first event for it. */
    public void setCrashingPart(String part) {
        mCrashingPart = part;
    }

    /** Sets the body of a request that crashes this server while it runs it. */
    public void setCrashingBody(String body) {
        mCrashingBody = body;
    }

    /**
     * Reads, answers and sends nothing for some time, then goes on with what was in progress. All
     * connections stay open.
     */
    public void pause(Duration silence) {
        mSilentUntilNanos = System.nanoTime() + silence.toNanos();
    }

    /** Completes once the server is not silent. */
    private Mono<Void> awaitEndOfPause() {
        return Mono.defer(
                () -> {
                    long silentNanos = mSilentUntilNanos - System.nanoTime();
                    return silentNanos <= 0
                            ? Mono.empty()
                            : Mono.delay(Duration.ofNanos(silentNanos)).then(awaitEndOfPause());
                });
    }

    /** Lets all later responses say that the server is leaving; it serves requests as before. */
    public void setLeaving() {
        mLeaving = true;
    }

    /**
     * Rejects requests with a {@code Retry-After} header.
     *
     * @param retryAfter the value of the header; empty to accept requests
     */
    public void setRetryAfter(String retryAfter) {
        mRetryAfter = retryAfter;
    }

    /**
     * Names a limit in all later responses; requests beyond it are served as well.
     *
     * @param limit the value of the header; empty to name none
     */
    public void setLimit(String limit) {
        mLimit = limit;
    }

    /**
     * Returns when requests and prefill calls arrived, by {@link System#nanoTime}, in order;
     * whether they were run or rejected.
     */
    public List<Long> arrivalsNanos() {
        return List.copyOf(mArrivalsNanos);
    }

    /** Returns the number of requests that were rejected with a {@code Retry-After} header. */
    public int turnedAwayCount() {
        return mTurnedAwayCount.get();
    }

    /** Returns the executions so far, in order. */
    public List<Execution> executions() {
        return List.copyOf(mExecutions);
    }

    /** Returns when work on a request ended here, by {@link System#nanoTime}, if it has. */
    public OptionalLong workEndNanos(String request) {
        Long nanos = mWorkEndsNanos.get(request);
        return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
    }

    /** Sets the start of this run in Unix milliseconds, as the server reports it. */
    public void setStartedMillis(long startedMillis) {
        mStartedMillis = startedMillis;
    }

    /** Resets the connections of the next calls for its report. */
    public void setLostReports(int count) {
        mLostReports.set(count);
    }

    /** Sets the stage that the engine reports; orders do not change it. */
    public void setStage(String stage) {
        mStage = stage;
    }

    /** Returns the accepted orders. */
    public List<Order> orders() {
        return List.copyOf(mOrders);
    }

    /** Returns the number of prefills for other engines. */
    public int prefillCount() {
        return mPrefillCount.get();
    }

    /** Returns the number of requests in progress. */
    public int activeRequests() {
        return mActiveRequests.get();
    }

    @Override
    public DisposableServer start(int port) {
        mServer =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(port)
                        .doOnConnection(this::addConnection)
                        .handle(this::handle)
                        .bindNow();
        return mServer;
    }

    private void addConnection(Connection connection) {
        mConnections.add(connection);
        connection.onDispose(() -> mConnections.remove(connection));
    }

    /** Stops to listen and closes all connections, as the end of the process would. */
    private Mono<Void> crash() {
        return Mono.fromRunnable(
                () -> {
                    mServer.dispose();
                    closeConnections();
                });
    }

    /** As the end of the process; returns once another run of the server can use the port. */
    public void stop() {
        mServer.disposeNow();
        closeConnections();
    }

    /** Closes all connections; new ones are accepted as before. */
    public void closeConnections() {
        mConnections.forEach(connection -> connection.channel().close());
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return awaitEndOfPause().then(Mono.defer(() -> Mono.from(read(request, response))));
    }

    private Publisher<Void> read(HttpServerRequest request, HttpServerResponse response) {
        HttpHeaders headers = request.requestHeaders();
        String expected = headers.get("Fuchsiaford-Expect-Instance");
        if (expected != null && !expected.equals(mId)) {
            return response.status(421).header("Fuchsiaford-Instance-Id", mId).send();
        }
        if (request.uri().equals("/api/report")) {
            return mLostReports.getAndUpdate(n -> Math.max(0, n - 1)) > 0
                    ? close(response)
                    : Json.send(response, 200, report());
        }
        if (request.uri().equals("/api/order")) {
            return Json.body(request).flatMap(body -> acceptOrder(response, body));
        }
        mArrivalsNanos.add(System.nanoTime());
        if (mLeaving) {
            response.header("Server-Leaving", "1");
        }
        if (!mLimit.isEmpty()) {
            response.header("Server-Limit", mLimit);
        }
        if (!mRetryAfter.isEmpty()) {
            mTurnedAwayCount.incrementAndGet();
            return response.status(503)
                    .header("Fuchsiaford-Not-Executed", "1")
                    .header("Retry-After", mRetryAfter)
                    .send();
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
        return request.receive()
                .aggregate()
                .asString()
                .defaultIfEmpty("")
                .flatMap(body -> execute(request, body, response));
    }

    private ObjectNode report() {
        return Json.object()
                .put("stage", mStage)
                .put("busy", false)
                .put("seq", mOrders.size())
                .put("born", mStartedMillis);
    }

    private synchronized Mono<Void> acceptOrder(HttpServerResponse response, JsonNode body) {
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

    private Mono<Void> execute(
            HttpServerRequest request, String body, HttpServerResponse response) {
        return Mono.defer(
                        () -> {
                            HttpHeaders headers = request.requestHeaders();
                            String id = headers.get("Fuchsiaford-Request-Id");
                            mExecutions.add(new Execution(id, request.uri(), headers));
                            mActiveRequests.incrementAndGet();
                            boolean wrongRequest = mBehaviour == ServerBehaviour.WRONG_REQUEST;
                            response.header("Fuchsiaford-Request-Id", wrongRequest ? "another" : id)
                                    .header("Fuchsiaford-Server-Signature", "signed-by-" + mId);
                            return !mCrashingBody.isEmpty() && body.equals(mCrashingBody)
                                    ? Mono.delay(CRASH_DELAY).then(crash())
                                    : respond(request, response);
                        })
                .doFinally(
                        signal -> {
                            mActiveRequests.decrementAndGet();
                            String id = request.requestHeaders().get("Fuchsiaford-Request-Id");
                            mWorkEndsNanos.put(id, System.nanoTime());
                        });
    }

    private Mono<Void> respond(HttpServerRequest request, HttpServerResponse response) {
        ServerBehaviour behaviour = mBehaviour;
        return switch (behaviour) {
            case HANG -> Mono.never();
            case LOSE_ANSWER -> close(response);
            case ERROR -> response.status(500).sendString(Mono.just("error")).then();
            default ->
                    mOnlyStreams || request.requestHeaders().contains("Fuchsiaford-Token-Counts")
                            ? stream(request, response, behaviour)
                            : workPlain(request)
                                    .then(Mono.defer(() -> respondPlain(response, behaviour)));
        };
    }

    private Mono<Void> workPlain(HttpServerRequest request) {
        Duration time = mPlainTime.apply(request.uri());
        return time.isZero() ? Mono.empty() : Mono.delay(time).then(awaitEndOfPause());
    }

    private Mono<Void> respondPlain(HttpServerResponse response, ServerBehaviour behaviour) {
        String body = BODY_PREFIX + mId;
        if (behaviour == ServerBehaviour.BREAK_OFF) {
            response.header("Content-Length", Integer.toString(body.length() + 1));
            return send(response, Flux.just(bytes(body))).then(close(response));
        }
        return response.sendString(Mono.just(body)).then();
    }

    private Mono<Void> stream(
            HttpServerRequest request, HttpServerResponse response, ServerBehaviour behaviour) {
        String lastEventId = request.requestHeaders().get("Last-Event-Id", "0");
        int firstEvent = Integer.parseInt(lastEventId) + 1;
        boolean interrupted = behaviour == ServerBehaviour.BREAK_OFF;
        Events shape = mEvents.apply(request.uri());
        Flux<byte[]> events =
                Flux.fromStream(shape.from(firstEvent))
                        .take(interrupted ? EVENTS_BEFORE_BREAK : shape.count())
                        .delayElements(mStreamTime.apply(request.uri()).dividedBy(shape.count()))
                        .concatMap(event -> awaitEndOfPause().thenReturn(event));
        response.header("Content-Type", "text/event-stream");
        if (hasCrashingPart(request)) {
            return send(response, events.take(1)).then(crash());
        }
        if (behaviour == ServerBehaviour.STALL) {
            return send(response, events.take(EVENTS_BEFORE_BREAK).concatWith(Flux.never()));
        }
        // An interrupted stream ends in the middle of an event.
        return interrupted
                ? send(response, events.concatWith(Mono.just(bytes("id: 9\nda"))))
                        .then(close(response))
                : send(response, events);
    }

    private boolean hasCrashingPart(HttpServerRequest request) {
        String parts = request.requestHeaders().get("Fuchsiaford-Prompt-Prefix", "");
        return !mCrashingPart.isEmpty() && parts.contains(mCrashingPart + ":");
    }

    private static Mono<Void> send(HttpServerResponse response, Flux<byte[]> events) {
        return response.send(events.map(Unpooled::wrappedBuffer), buffer -> true).then();
    }

    private static byte[] event(int number, int fillBytes) {
        return bytes("id: " + number + "\ndata: token-" + number + "-".repeat(fillBytes) + "\n\n");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Mono<Void> close(HttpServerResponse response) {
        return Mono.fromRunnable(
                () -> response.withConnection(connection -> connection.channel().close()));
    }
}
