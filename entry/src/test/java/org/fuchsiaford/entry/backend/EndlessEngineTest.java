package org.fuchsiaford.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.Route;
import org.fuchsiaford.entry.service.ServiceClient;
import org.fuchsiaford.entry.service.ServiceRequest;
import org.fuchsiaford.request.RequestId;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * How the calls of the signed-bundle path end if the server sends bytes without end: in time, with
 * few bytes taken, and with a closed connection.
 */
class EndlessEngineTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String UNFRAMED = OK + "\r\n";

    /** The start of a response, and what follows it without end. */
    private static final Map<String, String> RESPONSES =
            Map.of(
                    "HTTP/1.1 200 ",
                    "y",
                    OK + "X-Header: ",
                    "y",
                    OK,
                    "X-Header: value\r\n",
                    "",
                    "HTTP/1.1 103 Early Hints\r\n\r\n",
                    CHUNKED + "4;",
                    "y",
                    CHUNKED + "0\r\n",
                    "X-Trailer: value\r\n",
                    CHUNKED,
                    "10\r\n: 0123456789012\n\r\n",
                    UNFRAMED,
                    "noise without lines",
                    UNFRAMED + "data: ",
                    "{\"choices\":[",
                    "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "1\r\nx\r\n");

    private static final Duration DRIP = Duration.ofMillis(20);
    private static final long MAX_CALL_SECONDS = 7;

    /** A response that is given up, and what the sockets of both ends hold beyond it. */
    private static final long MAX_BYTES = 16 * 1024 * 1024;

    /** Chunks of one byte take six, up to the limit of a body. */
    private static final long MAX_CHUNKED_BYTES = 6 * 4 * 1024 * 1024 + MAX_BYTES;

    /** Lines that are no chunks are dropped until the timeout, not kept. */
    private static final long MAX_DROPPED_BYTES = Long.MAX_VALUE;

    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicInteger mOpenConnections = new AtomicInteger();
    private final CompletionsEngineClient mEngines = new CompletionsEngineClient();
    private final ServiceClient mServices = new ServiceClient();

    private DisposableServer serve(String start, Flux<String> rest) {
        return TcpServer.create()
                .host("127.0.0.1")
                .port(0)
                .doOnConnection(connection -> answer(connection, start, rest))
                .bindNow();
    }

    private void answer(Connection connection, String start, Flux<String> rest) {
        mOpenConnections.incrementAndGet();
        connection.onDispose(mOpenConnections::decrementAndGet);
        Flux<byte[]> pieces =
                Flux.concat(Mono.just(start), rest)
                        .map(text -> text.getBytes(StandardCharsets.ISO_8859_1))
                        .doOnNext(bytes -> mSentBytes.addAndGet(bytes.length));
        connection
                .inbound()
                .receive()
                .next()
                .flatMap(
                        request ->
                                connection
                                        .outbound()
                                        .send(pieces.map(Unpooled::wrappedBuffer), b -> true)
                                        .then())
                .subscribe(done -> {}, e -> connection.dispose());
    }

    private static Flux<String> fast(String piece) {
        String pieces = piece.repeat(1 + 8_000 / piece.length());
        return Flux.generate(sink -> sink.next(pieces));
    }

    private static Flux<String> dripping(String piece) {
        return Flux.interval(DRIP)
                .onBackpressureDrop()
                .map(i -> piece.substring((int) (i % piece.length())).substring(0, 1));
    }

    private static BackendServer engine(int port) {
        return new BackendServer(
                new BackendServerId("e1"),
                BackendKind.DECODE,
                new FailureDomainId("z1"),
                "http://127.0.0.1:" + port,
                new ModelId("m"),
                new PoolId("p"),
                new ServiceId("app"),
                8,
                100,
                10_000,
                1,
                false);
    }

    private static EngineRequest request() {
        return new EngineRequest(
                new RequestId("r1"), JsonMapper.builder().build().createObjectNode(), "p", 16);
    }

    private Publisher<?> decode(BackendServer engine) {
        return mEngines.decode(
                engine,
                request(),
                new PrefillResult(JsonMapper.builder().build().createObjectNode(), 1, 0));
    }

    private Publisher<?> callService(BackendServer server) {
        Route route = new Route("/x", List.of("GET"), server.service(), true, true, 1, 1_000);
        return mServices.call(
                server,
                new ServiceRequest(
                        new RequestId("r1"),
                        route,
                        HttpMethod.GET,
                        "/x",
                        new DefaultHttpHeaders(),
                        new byte[0]),
                () -> {});
    }

    private void assertEnds(
            Function<BackendServer, Publisher<?>> call,
            String start,
            Flux<String> rest,
            long maxBytes) {
        mSentBytes.set(0);
        DisposableServer server = serve(start, rest);
        Mono<String> end =
                Flux.from(call.apply(engine(server.port())))
                        .then(Mono.just("complete"))
                        .onErrorReturn("failed");
        assertThat(end.block(Duration.ofSeconds(MAX_CALL_SECONDS))).as(start).isNotNull();
        Mono.delay(Duration.ofMillis(100)).repeat(20, () -> mOpenConnections.get() > 0).blockLast();
        assertThat(mOpenConnections.get()).as(start).isZero();
        assertThat(mSentBytes.get()).as(start).isLessThan(maxBytes);
        server.disposeNow();
    }

    private void assertAllEnd(Function<BackendServer, Publisher<?>> call, long maxBytes) {
        RESPONSES.forEach((start, piece) -> assertEnds(call, start, fast(piece), maxBytes));
        assertEnds(call, "HTTP/1.1 200 ", dripping("y"), maxBytes);
        assertEnds(call, UNFRAMED, dripping(": y\n"), maxBytes);
        assertEnds(call, UNFRAMED + "data: ", dripping("y"), maxBytes);
    }

    /** Guards against a load request that reads on, or waits on. */
    @Example
    void anEndlessLoadIsGivenUp() {
        assertAllEnd(mEngines::load, MAX_CHUNKED_BYTES);
    }

    /** Guards against a prefill call that reads on, or waits on. */
    @Example
    void anEndlessPrefillIsGivenUp() {
        assertAllEnd(engine -> mEngines.prefill(engine, request()), MAX_CHUNKED_BYTES);
    }

    /** Guards against a stream that reads on, or waits on, without a chunk. */
    @Example
    void anEndlessStreamWithoutChunksIsGivenUp() {
        assertAllEnd(this::decode, MAX_DROPPED_BYTES);
    }

    /** Guards against a response of a plain service that is read on, or waited for. */
    @Example
    void anEndlessResponseOfAServiceIsGivenUp() {
        assertAllEnd(this::callService, MAX_CHUNKED_BYTES);
    }

    /** Guards against output beyond what was asked for, which is kept to resume the request. */
    @Example
    void outputWithoutEndIsGivenUp() {
        String text = "y".repeat(1_000);
        for (String tokens : List.of("%d", "0", "1")) {
            AtomicInteger count = new AtomicInteger();
            Flux<String> chunks =
                    Flux.generate(
                            sink ->
                                    sink.next(
                                            "data: {\"choices\":[{\"text\":\""
                                                    + text
                                                    + "\"}],\"usage\":{\"completion_tokens\":"
                                                    + tokens.formatted(count.incrementAndGet())
                                                    + "}}\n"));
            assertEnds(this::decode, UNFRAMED, chunks, MAX_BYTES);
        }
    }
}
