package org.fuchsiaford.entry.model;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.entry.backend.BackendException;
import org.fuchsiaford.entry.backend.CompletionChunk;
import org.fuchsiaford.entry.backend.EngineClient;
import org.fuchsiaford.entry.backend.EngineRequest;
import org.fuchsiaford.entry.backend.PrefillResult;
import org.fuchsiaford.entry.keeper.PlacementClient;
import org.fuchsiaford.entry.keeper.PlacementClient.PlacementResult;
import org.fuchsiaford.entry.member.Authenticator;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.EntryMetrics.Count;
import org.fuchsiaford.entry.metrics.EntryMetrics.Timing;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.hash.RendezvousHash;
import org.fuchsiaford.placement.PlacementEvent;
import org.fuchsiaford.placement.PlacementEvent.Kind;
import org.fuchsiaford.placement.PlacementRequest;
import org.fuchsiaford.placement.PrefixHashes;
import org.fuchsiaford.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Executes admitted model requests: placement, prefill and decode. If an engine fails, the request
 * is placed again with the output already delivered appended to its prompt, so that generation
 * resumes after the last delivered token.
 *
 * <p>Thread-safe; the state of each request is kept in its {@link ModelRun}.
 */
public final class ModelRouter {
    private static final Logger LOG = Logger.getLogger(ModelRouter.class);

    /** Well below the time after which a scheduler releases a placement without reports. */
    private static final Duration RUNNING_REPORT_INTERVAL = Duration.ofMillis(1_500);

    private static final long NO_ENGINE_RETRY_AFTER_MILLIS = 500;

    private final Authenticator mAuthenticator;
    private final PlacementClient mPlacement;
    private final EngineClient mEngines;
    private final EntryMetrics mMetrics;
    private final Ticker mTicker;

    /** Creates a router. */
    public ModelRouter(
            Authenticator authenticator,
            PlacementClient placement,
            EngineClient engines,
            EntryMetrics metrics,
            Ticker ticker) {
        mAuthenticator = authenticator;
        mPlacement = placement;
        mEngines = engines;
        mMetrics = metrics;
        mTicker = ticker;
    }

    /**
     * Streams the output of a request. Fails with {@link RefusalException} if no output can be
     * generated, or if it cannot be completed.
     */
    public Flux<CompletionChunk> run(ModelRun run) {
        return Flux.defer(() -> attempt(run))
                .onErrorResume(BackendException.class, e -> retryAfterFailure(run, e))
                .onErrorMap(
                        RefusalException.class, e -> e.withRunState(run.lifecycle().runState()));
    }

    private Flux<CompletionChunk> retryAfterFailure(ModelRun run, BackendException error) {
        LOG.infof("request %s: attempt failed: %s", run.request().id(), error.getMessage());
        if (!run.lifecycle().retry(mTicker.nowNanos())) {
            return Flux.error(engineFailed(run, error));
        }
        mMetrics.count(Count.RESUMPTIONS, run.workspace(), 1);
        return run(run);
    }

    private static RefusalException engineFailed(ModelRun run, BackendException error) {
        return new RefusalException(
                RefusalReason.BACKEND_FAILED,
                run.lifecycle().runState(),
                NO_ENGINE_RETRY_AFTER_MILLIS,
                error.step(),
                error.remote(),
                "no engine could complete the response");
    }

    private Flux<CompletionChunk> attempt(ModelRun run) {
        long startNanos = mTicker.nowNanos();
        return Mono.fromCallable(() -> mAuthenticator.authenticate(run.key()))
                .flatMap(current -> place(run, current.view().index()))
                .doOnNext(placement -> record(run, Timing.QUEUE_WAIT, startNanos))
                .flatMapMany(placement -> execute(run, placement));
    }

    private Mono<PlacementResult> place(ModelRun run, BundleIndex index) {
        PlacementRequest request = placementRequest(run, index);
        List<PoolId> pools = index.pools(run.request().model().id());
        String affinity =
                request.prefixHashes().length == 0
                        ? run.workspace().value()
                        : Long.toHexString(request.prefixHashes()[0]);
        return Flux.fromIterable(RendezvousHash.rank(affinity, pools))
                .concatMap(pool -> mPlacement.place(pool, request), 1)
                .takeUntil(response -> response.decision().placed())
                .reduce(ModelRouter::preferred)
                .switchIfEmpty(Mono.error(ModelRouter::noPlacement));
    }

    /** Prefers a placement; of two refusals, the one with the shorter retry delay. */
    private static PlacementResult preferred(PlacementResult a, PlacementResult b) {
        if (b.decision().placed()) {
            return b;
        }
        return a.decision().retryAfterMillis() <= b.decision().retryAfterMillis() ? a : b;
    }

    private PlacementRequest placementRequest(ModelRun run, BundleIndex index) {
        ModelRequest request = run.request();
        String prompt = run.promptWithOutput();
        int bytesPerBlock = request.model().pieceTokens() * request.model().minBytesPerToken();
        long weight = index.workspace(run.workspace()).map(w -> w.ratePerSecond()).orElse(1L);
        return new PlacementRequest(
                request.id(),
                run.workspace(),
                weight,
                request.tokensUpperBound(prompt),
                run.remainingTokens(),
                PrefixHashes.of(prompt.getBytes(StandardCharsets.UTF_8), bytesPerBlock),
                run.remainingFirstTokenMillis(mTicker.nowNanos()));
    }

    private static RefusalException noPlacement() {
        return RefusalException.notRunRetry(
                RefusalReason.BUSY,
                NO_ENGINE_RETRY_AFTER_MILLIS,
                Step.PLACE,
                "no engine is available");
    }

    private Flux<CompletionChunk> execute(ModelRun run, PlacementResult placement) {
        if (!placement.decision().placed()) {
            return Flux.error(busy(placement));
        }
        return Mono.fromCallable(() -> mAuthenticator.authenticate(run.key()))
                .doOnNext(current -> run.lifecycle().place())
                .flatMapMany(current -> execute(run, placement, current.view().index()))
                .doOnError(e -> report(run, placement, eventKind(e), failedEngine(placement, e)))
                .doOnCancel(() -> report(run, placement, Kind.CANCELLED, null));
    }

    private static RefusalException busy(PlacementResult placement) {
        return RefusalException.notRunRetry(
                RefusalReason.BUSY,
                placement.decision().retryAfterMillis(),
                Step.PLACE,
                "the engines are too busy to meet the latency targets");
    }

    private Flux<CompletionChunk> execute(
            ModelRun run, PlacementResult placement, BundleIndex index) {
        Optional<BackendServer> prefill = index.backendServer(placement.decision().prefill());
        Optional<BackendServer> decode = index.backendServer(placement.decision().decode());
        if (prefill.isEmpty() || decode.isEmpty()) {
            return Flux.error(noPlacement());
        }
        EngineRequest request = run.engineRequest();
        long startNanos = mTicker.nowNanos();
        run.lifecycle().send();
        Flux<CompletionChunk> output =
                mEngines.prefill(prefill.get(), request)
                        .doOnNext(result -> recordPrefill(run, placement, result, startNanos))
                        .flatMapMany(
                                result -> decode(run, placement, decode.get(), request, result));
        return Flux.using(
                () -> reportWhileRunning(run, placement), reports -> output, Disposable::dispose);
    }

    private Disposable reportWhileRunning(ModelRun run, PlacementResult placement) {
        return Flux.interval(RUNNING_REPORT_INTERVAL)
                .subscribe(tick -> report(run, placement, Kind.RUNNING, null));
    }

    private void recordPrefill(
            ModelRun run, PlacementResult placement, PrefillResult result, long startNanos) {
        record(run, Timing.PREFILL, startNanos);
        // The prompt of a resumed request ends with the delivered output, which is counted as
        // completion tokens already.
        run.usage()
                .recordPrefill(
                        result.promptTokens() - run.deliveredTokens(), result.cachedTokens());
        mMetrics.count(Count.PROMPT_TOKENS, run.workspace(), result.promptTokens());
        mMetrics.count(Count.CACHED_TOKENS, run.workspace(), result.cachedTokens());
        report(run, placement, Kind.PREFILL_FINISHED, placement.decision().prefill());
    }

    private Flux<CompletionChunk> decode(
            ModelRun run,
            PlacementResult placement,
            BackendServer engine,
            EngineRequest request,
            PrefillResult result) {
        StreamPosition position = new StreamPosition(run.deliveredTokens());
        TokenTimer timer = new TokenTimer(mTicker.nowNanos());
        return mEngines.decode(engine, request, result)
                .doOnNext(chunk -> recordTokenTime(run, placement, timer))
                .concatMap(chunk -> run.accept(chunk, position, engine.id()))
                .concatWith(Mono.defer(() -> run.requireComplete(engine.id())))
                .doOnComplete(() -> report(run, placement, Kind.FINISHED, engine.id()));
    }

    private void recordTokenTime(ModelRun run, PlacementResult placement, TokenTimer timer) {
        long nowNanos = mTicker.nowNanos();
        long elapsedNanos = timer.recordToken(nowNanos);
        if (!timer.isFirstToken()) {
            mMetrics.record(Timing.BETWEEN_TOKENS, run.workspace(), elapsedNanos);
            return;
        }
        mMetrics.record(Timing.TRANSFER, run.workspace(), elapsedNanos);
        report(run, placement, Kind.FIRST_TOKEN, placement.decision().decode());
        if (run.deliveredTokens() == 0) {
            record(run, Timing.FIRST_TOKEN, run.receivedNanos());
        }
    }

    private static Kind eventKind(Throwable error) {
        if (!(error instanceof BackendException failure)) {
            return Kind.CANCELLED;
        }
        return failure.kind() == BackendException.Kind.REFUSED
                ? Kind.ENGINE_REFUSED
                : Kind.ENGINE_FAILED;
    }

    private static BackendServerId failedEngine(PlacementResult placement, Throwable error) {
        boolean prefill =
                error instanceof BackendException failure && failure.step() == Step.PREFILL;
        return prefill ? placement.decision().prefill() : placement.decision().decode();
    }

    private void report(
            ModelRun run, PlacementResult placement, Kind kind, BackendServerId engine) {
        mPlacement.report(
                placement,
                new PlacementEvent(run.request().id(), kind, engine, run.deliveredTokens()));
    }

    private void record(ModelRun run, Timing timing, long startNanos) {
        mMetrics.record(timing, run.workspace(), mTicker.nowNanos() - startNanos);
    }
}
