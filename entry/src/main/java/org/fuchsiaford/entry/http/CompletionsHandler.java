package org.fuchsiaford.entry.http;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsiaford.entry.backend.CompletionChunk;
import org.fuchsiaford.entry.limit.Admission;
import org.fuchsiaford.entry.limit.Charge;
import org.fuchsiaford.entry.member.Authenticator;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.EntryMetrics.Count;
import org.fuchsiaford.entry.model.ModelRequest;
import org.fuchsiaford.entry.model.ModelRouter;
import org.fuchsiaford.entry.model.ModelRun;
import org.fuchsiaford.entry.model.TokenUsage;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves {@code POST /v1/completions}. The response status is sent with the first token, so that a
 * refusal before it gets its own status; a stream that fails later ends with an {@code error} event
 * and without the end marker.
 *
 * <p>Thread-safe.
 */
public final class CompletionsHandler {
    private static final Logger LOG = Logger.getLogger(CompletionsHandler.class);
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String END_EVENT = "data: [DONE]\n\n";

    private final Authenticator mAuthenticator;
    private final Admission mAdmission;
    private final ModelRouter mRouter;
    private final EntryMetrics mMetrics;
    private final Ticker mTicker;

    private record Admitted(ModelRun run, Charge charge) {}

    /** Creates a handler. */
    public CompletionsHandler(
            Authenticator authenticator,
            Admission admission,
            ModelRouter router,
            EntryMetrics metrics,
            Ticker ticker) {
        mAuthenticator = authenticator;
        mAdmission = admission;
        mRouter = router;
        mMetrics = metrics;
        mTicker = ticker;
    }

    /** Handles a request; fails with {@link RefusalException} if no response has been sent. */
    Mono<Void> handle(RequestId id, HttpServerRequest request, HttpServerResponse response) {
        long receivedNanos = mTicker.nowNanos();
        return Mono.fromCallable(() -> mAuthenticator.authenticate(request.requestHeaders()))
                .then(RequestBody.read(request))
                .flatMap(body -> admit(id, request, body, receivedNanos))
                .flatMap(admitted -> respond(admitted, response));
    }

    private Mono<Admitted> admit(
            RequestId id, HttpServerRequest request, byte[] body, long receivedNanos) {
        return Mono.fromCallable(() -> mAuthenticator.authenticate(request.requestHeaders()))
                .flatMap(
                        caller ->
                                Mono.fromCallable(
                                                () ->
                                                        CompletionParser.parse(
                                                                id,
                                                                body,
                                                                caller.view().index(),
                                                                caller.workspace()))
                                        .flatMap(parsed -> admit(caller, parsed, receivedNanos)));
    }

    private Mono<Admitted> admit(
            Authenticator.Authenticated caller, ModelRequest request, long receivedNanos) {
        mMetrics.count(Count.REQUESTS, caller.workspace().id(), 1);
        ModelRun run = new ModelRun(request, caller.workspace().id(), caller.key(), receivedNanos);
        return mAdmission
                .admit(caller.view(), caller.workspace(), request.maxCostTokens())
                .map(charge -> new Admitted(run, charge))
                .doOnError(e -> countRefusal(run, e));
    }

    private Mono<Void> respond(Admitted admitted, HttpServerResponse response) {
        AtomicBoolean settled = new AtomicBoolean();
        Flux<CompletionChunk> chunks =
                mRouter.run(admitted.run())
                        .doOnError(e -> countRefusal(admitted.run(), e))
                        .doOnCancel(() -> countCancellation(admitted.run()))
                        .doFinally(signal -> settle(admitted, settled));
        response.header("X-Request-Id", admitted.run().request().id().value());
        if (!admitted.run().request().stream()) {
            return sendCompletion(admitted.run(), chunks, response);
        }
        return chunks.switchOnFirst((first, all) -> stream(admitted.run(), first, all, response))
                .then();
    }

    private Flux<Void> stream(
            ModelRun run,
            Signal<? extends CompletionChunk> first,
            Flux<CompletionChunk> chunks,
            HttpServerResponse response) {
        if (!first.hasValue()) {
            return chunks.thenMany(Flux.empty());
        }
        Flux<String> events =
                chunks.map(chunk -> "data: " + document(run, chunk) + "\n\n")
                        .concatWithValues(END_EVENT)
                        .onErrorResume(e -> Flux.just(errorEvent(run, e)));
        return response.sse().sendString(events).then().flux();
    }

    private Mono<Void> sendCompletion(
            ModelRun run, Flux<CompletionChunk> chunks, HttpServerResponse response) {
        return chunks.collectList()
                .map(
                        received -> {
                            StringBuilder text = new StringBuilder();
                            received.forEach(chunk -> text.append(chunk.text()));
                            String reason = received.get(received.size() - 1).finishReason();
                            return new CompletionChunk(
                                    text.toString(), run.deliveredTokens(), reason);
                        })
                .flatMap(
                        completion ->
                                response.header("Content-Type", "application/json")
                                        .sendString(Mono.just(document(run, completion).toString()))
                                        .then());
    }

    private static ObjectNode document(ModelRun run, CompletionChunk chunk) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("id", run.request().id().value()).put("object", "text_completion");
        document.put("model", run.request().model().id().value());
        ObjectNode choice = document.putArray("choices").addObject();
        choice.put("index", 0).put("text", chunk.text());
        choice.put("finish_reason", chunk.finishReason());
        if (chunk.isLast()) {
            TokenUsage usage = run.usage();
            document.putObject("usage")
                    .put("prompt_tokens", usage.promptTokens())
                    .put("completion_tokens", usage.completionTokens())
                    .put("total_tokens", usage.totalTokens());
        }
        return document;
    }

    private static String errorEvent(ModelRun run, Throwable error) {
        RefusalException refusal = ProblemDocuments.refusalOf(error, RunState.UNKNOWN);
        return "event: error\ndata: "
                + ProblemDocuments.document(refusal, run.request().id())
                + "\n\n";
    }

    private void settle(Admitted admitted, AtomicBoolean settled) {
        if (!settled.compareAndSet(false, true)) {
            return;
        }
        ModelRun run = admitted.run();
        long used = run.usage().totalTokens();
        mAdmission.settle(admitted.charge(), used);
        mMetrics.count(Count.OUTPUT_TOKENS, run.workspace(), run.deliveredTokens());
        mMetrics.count(Count.ANSWERS, run.workspace(), 1);
        LOG.infof(
                "request %s workspace %s used %d tokens",
                run.request().id(), run.workspace(), used);
    }

    private void countRefusal(ModelRun run, Throwable error) {
        RefusalException refusal = ProblemDocuments.refusalOf(error, RunState.UNKNOWN);
        mMetrics.countRefusal(refusal.reason(), run.workspace());
    }

    private void countCancellation(ModelRun run) {
        mMetrics.count(Count.CANCELLATIONS, run.workspace(), 1);
    }
}
