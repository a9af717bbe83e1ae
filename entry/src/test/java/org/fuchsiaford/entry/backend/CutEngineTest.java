package org.fuchsiaford.entry.backend;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.assertj.core.api.SoftAssertions;
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

/** How the calls of the signed-bundle path end if the server stops inside its head or after it. */
class CutEngineTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final List<String> FRAMINGS =
            List.of(
                    "Content-Length: 123\r\n",
                    "Transfer-Encoding: chunked\r\n",
                    "Connection: close\r\n");
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final CompletionsEngineClient mEngines = new CompletionsEngineClient();
    private final ServiceClient mServices = new ServiceClient();

    private static DisposableServer serve(String response, boolean resets) {
        return TcpServer.create()
                .host("127.0.0.1")
                .port(0)
                .childOption(ChannelOption.SO_LINGER, resets ? 0 : -1)
                .doOnConnection(connection -> answer(connection, response))
                .bindNow();
    }

    private static void answer(Connection connection, String response) {
        connection
                .inbound()
                .receive()
                .next()
                .flatMap(request -> connection.outbound().sendString(Mono.just(response)).then())
                .subscribe(done -> {}, e -> {}, () -> connection.channel().close());
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

    private Publisher<?> prefill(BackendServer engine) {
        return mEngines.prefill(engine, request());
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

    /** Returns starts of heads; each of them lacks at least a part of the empty line. */
    private static Stream<String> cutHeads() {
        return FRAMINGS.stream()
                .map(framing -> OK + "Content-Type: text/plain\r\n" + framing)
                .flatMap(
                        head ->
                                IntStream.iterate(head.length() + 1, n -> n > 0, n -> n - 5)
                                        .mapToObj(n -> (head + "\r").substring(0, n)))
                .flatMap(start -> Stream.of(start, "HTTP/1.1 103 Early Hints\r\n\r\n" + start));
    }

    private static void assertFails(
            Function<BackendServer, Publisher<?>> call, Stream<String> responses) {
        SoftAssertions softly = new SoftAssertions();
        responses.forEach(
                response ->
                        Stream.of(false, true)
                                .forEach(
                                        resets ->
                                                softly.assertThat(end(call, response, resets))
                                                        .as(response + resets)
                                                        .isEqualTo("failed")));
        softly.assertAll();
    }

    private static String end(
            Function<BackendServer, Publisher<?>> call, String response, boolean resets) {
        DisposableServer server = serve(response, resets);
        String end =
                Flux.from(call.apply(engine(server.port())))
                        .map(String::valueOf)
                        .next()
                        .defaultIfEmpty("complete")
                        .onErrorReturn("failed")
                        .block(TIMEOUT);
        server.disposeNow();
        return end;
    }

    @Example
    void aHeadThatIsNotWholeIsNoResponse() {
        assertFails(mEngines::load, cutHeads());
        assertFails(this::prefill, cutHeads());
        assertFails(this::decode, cutHeads());
        assertFails(this::callService, cutHeads());
    }

    /** Guards against an engine that counts as idle and full, as one without any number would. */
    @Example
    void anEmptyLoadIsNone() {
        assertFails(mEngines::load, emptyBodies());
    }

    /** Guards against an engine that is asked for a result without its parameters. */
    @Example
    void anEmptyPrefillResultIsNone() {
        assertFails(this::prefill, emptyBodies());
    }

    @Example
    void anEmptyStreamIsNone() {
        assertFails(this::decode, emptyBodies());
    }

    private static Stream<String> emptyBodies() {
        return Stream.of(
                OK + "\r\n",
                OK + "Connection: close\r\n\r\n",
                OK + "Content-Length: 0\r\n\r\n",
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 500 Error\r\n\r\n");
    }
}
