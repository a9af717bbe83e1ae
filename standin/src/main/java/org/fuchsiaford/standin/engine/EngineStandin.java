package org.fuchsiaford.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaford.placement.PrefixHashes;
import org.fuchsiaford.standin.FaultMode;
import org.fuchsiaford.standin.FaultModes;
import org.fuchsiaford.standin.Json;
import org.fuchsiaford.standin.Standin;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.ConnectionProvider;

/**
 * A stand-in for a model engine with the completions API and the transfer parameters of
 * disaggregated prefill. Its speed and memory follow an {@link EngineProfile}. Thread-safe.
 */
public final class EngineStandin implements Standin {
    private final EngineProfile mProfile;
    private final String mName;
    private final EngineState mState;
    private final List<ObjectNode> mCompletionRequests = new CopyOnWriteArrayList<>();
    private final AtomicLong mLastId = new AtomicLong();
    private final HttpClient mPrefillClient =
            HttpClient.create(ConnectionProvider.newConnection()).disableRetry(true);
    private volatile FaultMode mFault = FaultMode.NONE;
    private volatile int mBreakAfterTokens = Integer.MAX_VALUE;
    private volatile boolean mStallTransfers;
    private volatile int mPort;

    /** Creates an engine that is not started yet. */
    public EngineStandin(String name, EngineProfile profile) {
        mName = name;
        mProfile = profile;
        mState = new EngineState(profile);
    }

    /** Sets the fault to simulate for subsequent requests. */
    public void setFault(FaultMode fault) {
        mFault = fault;
    }

    /** Makes each stream fail after a number of tokens. */
    public void setBreakAfterTokens(int tokens) {
        mBreakAfterTokens = tokens;
    }

    /** Sets whether transfers of prefill results start but never finish. */
    public void setStallTransfers(boolean stall) {
        mStallTransfers = stall;
    }

    /** Returns the number of KV cache blocks allocated to requests. */
    public int allocatedBlocks() {
        return mState.allocatedBlocks();
    }

    /** Returns the headers and bodies of all completion requests, in order. */
    public List<ObjectNode> completionRequests() {
        return List.copyOf(mCompletionRequests);
    }

    @Override
    public DisposableServer start(int port) {
        DisposableServer server =
                HttpServer.create().host("127.0.0.1").port(port).route(this::addRoutes).bindNow();
        mPort = server.port();
        return server;
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.post("/v1/completions", this::complete)
                .get("/load", (request, response) -> Json.send(response, 200, load()))
                .get("/standin/kv/{id}", this::transfer)
                .post("/standin/fault", this::changeFault);
    }

    private Publisher<Void> changeFault(HttpServerRequest request, HttpServerResponse response) {
        return Json.body(request)
                .doOnNext(
                        body -> {
                            mFault = FaultModes.parse(body.path("mode").asText("none"));
                            mBreakAfterTokens =
                                    body.path("breakAfterTokens").asInt(Integer.MAX_VALUE);
                        })
                .flatMap(body -> Mono.from(Json.send(response, 200, Json.object())));
    }

    private ObjectNode load() {
        ObjectNode load = Json.object();
        load.put("engine", mName).put("running", mState.running()).put("waiting", 0);
        load.put("free_pieces", mState.freeBlocks()).put("held_pieces", mState.allocatedBlocks());
        ArrayNode events = load.putArray("cache_events");
        mState.takeCacheChanges()
                .forEach(
                        change ->
                                events.addObject()
                                        .put("hash", change.prefixHash())
                                        .put("stored", change.stored()));
        return load;
    }

    private Publisher<Void> complete(HttpServerRequest request, HttpServerResponse response) {
        if (mFault == FaultMode.SILENT) {
            return Mono.never();
        }
        if (mFault == FaultMode.DOWN) {
            return Json.send(response, 503, Json.object());
        }
        return Json.body(request).flatMap(body -> dispatch(request, body, response));
    }

    private Mono<Void> dispatch(
            HttpServerRequest request, JsonNode body, HttpServerResponse response) {
        ObjectNode received = Json.object();
        received.set("body", body);
        ObjectNode headers = received.putObject("headers");
        request.requestHeaders().forEach(header -> headers.put(header.getKey(), header.getValue()));
        mCompletionRequests.add(received);
        JsonNode transfer = body.path("kv_transfer_params");
        if (transfer.path("do_remote_decode").asBoolean(false)) {
            return prefill(body, response);
        }
        return decode(body, transfer, response);
    }

    private Mono<Void> prefill(JsonNode body, HttpServerResponse response) {
        String prompt = body.path("prompt").asText();
        String id = mName + "-" + mLastId.incrementAndGet();
        int tokens = CompletionText.countTokens(prompt);
        int cached = mState.startPrefill(id, tokens, prefixHashes(prompt), System.nanoTime());
        if (cached < 0) {
            return refuse(response, "no_memory");
        }
        Duration prefillDelay = Duration.ofNanos(mState.prefillDelayNanos(id, System.nanoTime()));
        return Mono.delay(prefillDelay)
                .doOnNext(tick -> mState.finishPrefill(id, prefixHashes(prompt)))
                .doOnNext(tick -> expireLater(id))
                .flatMap(tick -> Mono.from(Json.send(response, 200, result(id, tokens, cached))))
                .doOnCancel(() -> mState.release(id));
    }

    private long[] prefixHashes(String prompt) {
        return PrefixHashes.of(
                prompt.getBytes(StandardCharsets.UTF_8),
                mProfile.blockTokens() * CompletionText.BYTES_PER_TOKEN);
    }

    private void expireLater(String id) {
        Mono.delay(Duration.ofNanos(mProfile.resultTtlNanos()))
                .subscribe(tick -> mState.expire(id));
    }

    private ObjectNode result(String id, int tokens, int cached) {
        ObjectNode reply = Json.object();
        reply.put("id", id).put("object", "text_completion");
        reply.putArray("choices").addObject().put("index", 0).put("text", "");
        ObjectNode usage = reply.putObject("usage").put("prompt_tokens", tokens);
        usage.put("completion_tokens", 1);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cached);
        ObjectNode transfer = reply.putObject("kv_transfer_params");
        transfer.put("do_remote_prefill", true).put("remote_engine_id", mName);
        transfer.put("remote_host", "127.0.0.1").put("remote_port", mPort);
        transfer.put("remote_request_id", id).putArray("remote_block_ids");
        return reply;
    }

    /** Transfers a prefill result to the decode engine that requests it; a result is sent once. */
    private Publisher<Void> transfer(HttpServerRequest request, HttpServerResponse response) {
        if (mFault == FaultMode.SILENT) {
            return Mono.never();
        }
        String id = request.param("id");
        int tokens = mState.startTransfer(id);
        if (tokens < 0) {
            return Json.send(response, 404, Json.object());
        }
        Mono<Long> transferred =
                mStallTransfers
                        ? Mono.never()
                        : Mono.delay(Duration.ofNanos(mProfile.transferNanos(tokens)));
        return transferred
                .flatMap(tick -> Mono.from(Json.send(response, 200, Json.object())))
                .doFinally(signal -> mState.release(id));
    }

    private Mono<Void> decode(JsonNode body, JsonNode transfer, HttpServerResponse response) {
        String prompt = body.path("prompt").asText();
        String id = mName + "-" + mLastId.incrementAndGet();
        int maxTokens = body.path("max_tokens").asInt(16);
        int tokens = CompletionText.countTokens(prompt);
        if (!mState.startDecode(id, tokens + maxTokens)) {
            return refuse(response, "no_seat");
        }
        return fetchKvCache(transfer, tokens)
                .flatMap(
                        fetched ->
                                fetched
                                        ? stream(prompt, maxTokens, response)
                                        : refuse(response, "kv_expired"))
                .doFinally(signal -> mState.endDecode(id));
    }

    private Mono<Boolean> fetchKvCache(JsonNode transfer, int tokens) {
        if (!transfer.path("do_remote_prefill").asBoolean(false)) {
            return Mono.delay(Duration.ofNanos(mProfile.prefillNanos(tokens))).thenReturn(true);
        }
        String url =
                "http://"
                        + transfer.path("remote_host").asText()
                        + ":"
                        + transfer.path("remote_port").asInt()
                        + "/standin/kv/"
                        + transfer.path("remote_request_id").asText();
        return mPrefillClient
                .get()
                .uri(url)
                .response()
                .map(reply -> reply.status().code() == 200)
                .onErrorReturn(false);
    }

    private Mono<Void> stream(String prompt, int maxTokens, HttpServerResponse response) {
        CompletionText text = new CompletionText(prompt);
        int promptTokens = CompletionText.countTokens(prompt);
        Flux<String> chunks =
                Flux.range(0, maxTokens)
                        .concatMap(i -> delayStep().map(tick -> chunk(text, i, maxTokens)), 1)
                        .map(chunk -> withUsage(chunk, promptTokens))
                        .take(mBreakAfterTokens)
                        .map(chunk -> "data: " + chunk + "\n\n");
        Flux<String> lastEvent =
                mBreakAfterTokens < maxTokens
                        ? Flux.error(
                                new IllegalStateException(
                                        "stream interrupted by a simulated fault"))
                        : Flux.just("data: [DONE]\n\n");
        return response.sse().sendString(Flux.concat(chunks, lastEvent)).then();
    }

    private Mono<Long> delayStep() {
        return Mono.defer(() -> Mono.delay(Duration.ofNanos(mProfile.stepNanos(mState.running()))));
    }

    private static ObjectNode chunk(CompletionText text, int index, int maxTokens) {
        ObjectNode chunk = Json.object();
        chunk.put("object", "text_completion");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        choice.put("text", text.nextToken());
        choice.put("finish_reason", index == maxTokens - 1 ? "length" : null);
        chunk.putObject("usage").put("completion_tokens", index + 1);
        return chunk;
    }

    private static ObjectNode withUsage(ObjectNode chunk, int promptTokens) {
        ((ObjectNode) chunk.path("usage")).put("prompt_tokens", promptTokens);
        return chunk;
    }

    private static Mono<Void> refuse(HttpServerResponse response, String code) {
        ObjectNode reply = Json.object();
        reply.putObject("error").put("code", code);
        return Mono.from(Json.send(response, 503, reply));
    }
}
