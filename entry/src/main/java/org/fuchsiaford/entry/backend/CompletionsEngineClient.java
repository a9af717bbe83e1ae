package org.fuchsiaford.entry.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.placement.EngineLoad;
import org.fuchsiaford.store.http.BoundedBody;
import org.fuchsiaford.store.http.CallConnection;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Calls engines over the completions API with server-sent events and the KV transfer fields of
 * disaggregated prefill. Each request opens its own connection, so that the connection is known to
 * work when the request is sent, and closing it cancels the request at the engine.
 *
 * <p>Thread-safe.
 */
public final class CompletionsEngineClient implements EngineClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration LOAD_TIMEOUT = Duration.ofMillis(500);

    /**
     * Added to the prefill time that follows from the engine's declared speed; after that, the
     * engine counts as unresponsive.
     */
    private static final Duration PREFILL_MARGIN = Duration.ofSeconds(4);

    /** Covers the KV transfer and the first decode step; a longer transfer is taken as stalled. */
    private static final Duration FIRST_TOKEN_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration BETWEEN_TOKENS_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_LINE_BYTES = 1024 * 1024;
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final String SSE_DATA_PREFIX = "data: ";
    private static final String END_MARKER = "[DONE]";

    private final JsonMapper mMapper = JsonMapper.builder().build();
    private final HttpClient mClient =
            HttpClient.create(ConnectionProvider.newConnection())
                    .disableRetry(true)
                    .headers(headers -> headers.set("Content-Type", "application/json"))
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
    private final HttpClient mStreamClient =
            mClient.doOnConnected(c -> c.addHandlerLast(new LineBasedFrameDecoder(MAX_LINE_BYTES)));

    @Override
    public Mono<EngineLoad> load(BackendServer engine) {
        return CallConnection.own(
                mClient,
                client ->
                        client.get()
                                .uri(engine.url() + "/load")
                                .response(
                                        (response, content) ->
                                                readBody(Step.PLACE, engine, response, content))
                                .single()
                                .timeout(LOAD_TIMEOUT)
                                .flatMap(bytes -> Mono.fromCallable(() -> toLoad(engine, bytes)))
                                .onErrorMap(e -> failed(Step.PLACE, engine, false, e)));
    }

    private EngineLoad toLoad(BackendServer engine, byte[] bytes) throws IOException {
        JsonNode load = readObject(bytes);
        List<EngineLoad.CacheEvent> events = new ArrayList<>();
        load.path("cache_events")
                .forEach(
                        event ->
                                events.add(
                                        new EngineLoad.CacheEvent(
                                                event.path("hash").asLong(),
                                                event.path("stored").asBoolean())));
        return new EngineLoad(
                engine.id(),
                load.path("running").asInt(),
                load.path("waiting").asInt(),
                load.path("free_pieces").asInt(),
                events);
    }

    @Override
    public Mono<PrefillResult> prefill(BackendServer engine, EngineRequest request) {
        ObjectNode body = body(request).put("stream", false).put("max_tokens", 1);
        body.putObject("kv_transfer_params").put("do_remote_decode", true);
        return CallConnection.own(
                mClient,
                client -> {
                    AtomicBoolean sent = new AtomicBoolean();
                    return post(client, engine, request, body, sent)
                            .response(
                                    (response, content) ->
                                            readBody(Step.PREFILL, engine, response, content))
                            .single()
                            .timeout(prefillTimeout(engine, request))
                            .flatMap(bytes -> Mono.fromCallable(() -> toResult(bytes)))
                            .onErrorMap(e -> failed(Step.PREFILL, engine, sent.get(), e));
                });
    }

    /** Uses the number of characters as an upper bound on the number of tokens in the prompt. */
    private static Duration prefillTimeout(BackendServer engine, EngineRequest request) {
        long millis = 1_000L * request.prompt().length() / engine.prefillTokensPerSecond();
        return PREFILL_MARGIN.plusMillis(millis);
    }

    private PrefillResult toResult(byte[] bytes) throws IOException {
        JsonNode response = readObject(bytes);
        JsonNode usage = response.path("usage");
        return new PrefillResult(
                response.path("kv_transfer_params"),
                usage.path("prompt_tokens").asInt(),
                usage.path("prompt_tokens_details").path("cached_tokens").asInt());
    }

    @Override
    public Flux<CompletionChunk> decode(
            BackendServer engine, EngineRequest request, PrefillResult prefill) {
        ObjectNode body = body(request).put("stream", true).put("max_tokens", request.maxTokens());
        body.set("kv_transfer_params", prefill.transferParams());
        body.putObject("stream_options")
                .put("include_usage", true)
                .put("continuous_usage_stats", true);
        return CallConnection.ownStream(
                mStreamClient, client -> decode(client, engine, request, body));
    }

    private Flux<CompletionChunk> decode(
            HttpClient client, BackendServer engine, EngineRequest request, ObjectNode body) {
        AtomicBoolean sent = new AtomicBoolean();
        OutputLimit limit = new OutputLimit(request.maxTokens());
        return post(client, engine, request, body, sent)
                .response(
                        (response, content) ->
                                check(Step.DECODE, engine, response)
                                        .thenMany(content.asString(StandardCharsets.UTF_8)))
                .filter(line -> line.startsWith(SSE_DATA_PREFIX) && !line.endsWith(END_MARKER))
                .concatMap(line -> Mono.fromCallable(() -> limit.count(toChunk(line))))
                .timeout(
                        Mono.delay(FIRST_TOKEN_TIMEOUT),
                        chunk -> Mono.delay(BETWEEN_TOKENS_TIMEOUT))
                .takeUntil(CompletionChunk::isLast)
                .switchIfEmpty(
                        Flux.error(() -> new IOException("the stream ended without a chunk")))
                .onErrorMap(e -> failed(Step.DECODE, engine, sent.get(), e));
    }

    private CompletionChunk toChunk(String line) throws IOException {
        JsonNode chunk = mMapper.readTree(line.substring(SSE_DATA_PREFIX.length()));
        JsonNode choice = chunk.path("choices").path(0);
        return new CompletionChunk(
                choice.path("text").asText(),
                chunk.path("usage").path("completion_tokens").asInt(),
                choice.path("finish_reason").asText(null));
    }

    private ObjectNode body(EngineRequest request) {
        return request.fields().deepCopy().put("prompt", request.prompt());
    }

    private HttpClient.ResponseReceiver<?> post(
            HttpClient client,
            BackendServer engine,
            EngineRequest request,
            ObjectNode body,
            AtomicBoolean sent) {
        return client.headers(headers -> headers.set("X-Request-Id", request.id().value()))
                .doOnRequest((httpRequest, connection) -> sent.set(true))
                .post()
                .uri(engine.url() + "/v1/completions")
                .send(
                        Mono.fromSupplier(
                                () ->
                                        Unpooled.wrappedBuffer(
                                                body.toString().getBytes(StandardCharsets.UTF_8))));
    }

    /** A body that ends with its connection may be empty since the engine stopped. */
    private JsonNode readObject(byte[] bytes) throws IOException {
        JsonNode object = mMapper.readTree(bytes);
        if (!object.isObject()) {
            throw new IOException("the body is not a JSON object");
        }
        return object;
    }

    private static Mono<byte[]> readBody(
            Step step, BackendServer engine, HttpClientResponse response, ByteBufFlux content) {
        return check(step, engine, response)
                .then(BoundedBody.join(content.asByteArray(), MAX_BODY_BYTES));
    }

    private static Mono<Void> check(Step step, BackendServer engine, HttpClientResponse response) {
        int status = response.status().code();
        if (status == 200) {
            return Mono.empty();
        }
        BackendException.Kind kind =
                status == 503 || status == 429
                        ? BackendException.Kind.REFUSED
                        : BackendException.Kind.BROKEN;
        return Mono.error(
                new BackendException(step, engine.id(), kind, "HTTP status " + status, null));
    }

    private static BackendException failed(
            Step step, BackendServer engine, boolean sent, Throwable cause) {
        if (cause instanceof BackendException backendException) {
            return backendException;
        }
        BackendException.Kind kind =
                sent ? BackendException.Kind.BROKEN : BackendException.Kind.UNREACHABLE;
        return new BackendException(
                step, engine.id(), kind, String.valueOf(cause.getMessage()), cause);
    }
}
