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
import org.fuchsiaford.entry.keeper.PlacementClient.Placed;
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
    private static final Duration RUNNING_REPORT_INTERVAL = Duration.ofMillis(1_500);
    private static final long ENGINE_FAILED_RETRY_MILLIS = 500;

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
                ENGINE_FAILED_RETRY_MILLIS,
                error.step(),
                error.remote(),
                "no engine could complete the response");
    }

    private Flux<CompletionChunk> attempt(ModelRun run) {
        long startNanos = mTicker.nowNanos();
        return Mono.fromCallable(() -> mAuthenticator.authenticate(run.key()))
                .flatMap(current -> place(run, current.view().index()))
                .doOnNext(placed -> record(run, Timing.QUEUE_WAIT, startNanos))
                .flatMapMany(placed -> execute(run, placed));
    }

    private Mono<Placed> place(ModelRun run, BundleIndex index) {
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
    private static Placed preferred(Placed a, Placed b) {
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
                ENGINE_FAILED_RETRY_MILLIS,
                Step.PLACE,
                "no engine is available");
    }

    private Flux<CompletionChunk> execute(ModelRun run, Placed placed) {
        if (!placed.decision().placed()) {
            return Flux.error(busy(placed));
        }
        return Mono.fromCallable(() -> mAuthenticator.authenticate(run.key()))
                .doOnNext(current -> run.lifecycle().place())
                .flatMapMany(current -> execute(run, placed, current.view().index()))
                .doOnError(e -> report(run, placed, eventKind(e), failedEngine(placed, e)))
                .doOnCancel(() -> report(run, placed, Kind.CANCELLED, null));
    }

    private static RefusalException busy(Placed placed) {
        return RefusalException.notRunRetry(
                RefusalReason.BUSY,
                placed.decision().retryAfterMillis(),
                Step.PLACE,
                "the engines are too busy to meet the latency targets");
    }

    private Flux<CompletionChunk> execute(ModelRun run, Placed placed, BundleIndex index) {
        Optional<BackendServer> prefill = index.backendServer(placed.decision().prefill());
        Optional<BackendServer> decode = index.backendServer(placed.decision().decode());
        if (prefill.isEmpty() || decode.isEmpty()) {
            return Flux.error(noPlacement());
        }
        EngineRequest request = run.engineRequest();
        long startNanos = mTicker.nowNanos();
        run.lifecycle().send();
        Flux<CompletionChunk> output =
                mEngines.prefill(prefill.get(), request)
                        .doOnNext(result -> recordPrefill(run, placed, result, startNanos))
                        .flatMapMany(result -> decode(run, placed, decode.get(), request, result));
        return Flux.using(
                () -> reportWhileRunning(run, placed), reports -> output, Disposable::dispose);
    }

    private Disposable reportWhileRunning(ModelRun run, Placed placed) {
        return Flux.interval(RUNNING_REPORT_INTERVAL)
                .subscribe(tick -> report(run, placed, Kind.RUNNING, null));
    }

    private void recordPrefill(ModelRun run, Placed placed, PrefillResult result, long startNanos) {
        record(run, Timing.PREFILL, startNanos);
        run.usage()
                .recordPrefill(
                        result.promptTokens() - run.deliveredTokens(), result.cachedTokens());
        mMetrics.count(Count.PROMPT_TOKENS, run.workspace(), result.promptTokens());
        mMetrics.count(Count.CACHED_TOKENS, run.workspace(), result.cachedTokens());
        report(run, placed, Kind.PREFILL_FINISHED, placed.decision().prefill());
    }

    private Flux<CompletionChunk> decode(
            ModelRun run,
            Placed placed,
            BackendServer engine,
            EngineRequest request,
            PrefillResult result) {
        StreamPosition position = new StreamPosition(run.deliveredTokens());
        TokenTimer timer = new TokenTimer(mTicker.nowNanos());
        return mEngines.decode(engine, request, result)
                .doOnNext(chunk -> recordTokenTime(run, placed, timer))
                .concatMap(chunk -> run.accept(chunk, position, engine.id()))
                .concatWith(Mono.defer(() -> run.requireComplete(engine.id())))
                .doOnComplete(() -> report(run, placed, Kind.FINISHED, engine.id()));
    }

    private void recordTokenTime(ModelRun run, Placed placed, TokenTimer timer) {
        long nowNanos = mTicker.nowNanos();
        long elapsedNanos = timer.recordToken(nowNanos);
        if (!timer.isFirstToken()) {
            mMetrics.record(Timing.BETWEEN_TOKENS, run.workspace(), elapsedNanos);
            return;
        }
        mMetrics.record(Timing.TRANSFER, run.workspace(), elapsedNanos);
        report(run, placed, Kind.FIRST_TOKEN, placed.decision().decode());
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

    private static BackendServerId failedEngine(Placed placed, Throwable error) {
        boolean prefill =
                error instanceof BackendException failure && failure.step() == Step.PREFILL;
        return prefill ? placed.decision().prefill() : placed.decision().decode();
    }

    private void report(ModelRun run, Placed placed, Kind kind, BackendServerId engine) {
        mPlacement.report(
                placed,
                new PlacementEvent(run.request().id(), kind, engine, run.deliveredTokens()));
    }

    private void record(ModelRun run, Timing timing, long startNanos) {
        mMetrics.record(timing, run.workspace(), mTicker.nowNanos() - startNanos);
    }
}
