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
 * Takes an admitted model request through placement, prefill and decoding. When an engine fails the
 * request is placed again; what the caller already has becomes part of the prompt, so that the
 * answer goes on where it broke off.
 *
 * <p>Thread-safe; the state of a request lies in its {@link ModelRun}.
 */
public final class ModelRouter {
    private static final Logger LOG = Logger.getLogger(ModelRouter.class);
    private static final Duration RUNNING_REPORT = Duration.ofMillis(1_500);
    private static final long BROKEN_RETRY_MILLIS = 500;

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

    /** Produces the answer; fails with {@link RefusalException} if there is none or it breaks. */
    public Flux<CompletionChunk> run(ModelRun run) {
        return Flux.defer(() -> attempt(run))
                .onErrorResume(BackendException.class, e -> retryOrFail(run, e))
                .onErrorMap(
                        RefusalException.class, e -> e.withRunState(run.lifecycle().runState()));
    }

    private Flux<CompletionChunk> retryOrFail(ModelRun run, BackendException error) {
        LOG.infof("request %s: %s", run.request().id(), error.getMessage());
        if (!run.lifecycle().retry(mTicker.nowNanos())) {
            return Flux.error(broken(run, error));
        }
        mMetrics.count(Count.RESUMPTIONS, run.workspace(), 1);
        return run(run);
    }

    private static RefusalException broken(ModelRun run, BackendException error) {
        return new RefusalException(
                RefusalReason.BACKEND_FAILED,
                run.lifecycle().runState(),
                BROKEN_RETRY_MILLIS,
                error.step(),
                error.remote(),
                "no engine could finish the answer");
    }

    private Flux<CompletionChunk> attempt(ModelRun run) {
        long startNanos = mTicker.nowNanos();
        return Mono.fromCallable(() -> mAuthenticator.authenticate(run.key()))
                .flatMap(current -> place(run, current.view().index()))
                .doOnNext(placed -> record(run, Timing.QUEUE_WAIT, startNanos))
                .flatMapMany(placed -> serve(run, placed));
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
                .takeUntil(answer -> answer.decision().placed())
                .reduce(ModelRouter::better)
                .switchIfEmpty(Mono.error(ModelRouter::noKeeper));
    }

    /** A placement, else the refusal that asks for the shortest wait. */
    private static Placed better(Placed a, Placed b) {
        if (b.decision().placed()) {
            return b;
        }
        return a.decision().retryAfterMillis() <= b.decision().retryAfterMillis() ? a : b;
    }

    private PlacementRequest placementRequest(ModelRun run, BundleIndex index) {
        ModelRequest request = run.request();
        String prompt = run.promptWithOutput();
        int bytesPerPiece = request.model().pieceTokens() * request.model().minBytesPerToken();
        long weight = index.workspace(run.workspace()).map(w -> w.ratePerSecond()).orElse(1L);
        return new PlacementRequest(
                request.id(),
                run.workspace(),
                weight,
                request.tokensUpperBound(prompt),
                run.remainingTokens(),
                PrefixHashes.of(prompt.getBytes(StandardCharsets.UTF_8), bytesPerPiece),
                run.remainingFirstTokenMillis(mTicker.nowNanos()));
    }

    private static RefusalException noKeeper() {
        return RefusalException.notRunRetry(
                RefusalReason.BUSY, BROKEN_RETRY_MILLIS, Step.PLACE, "no engine can be chosen now");
    }

    private Flux<CompletionChunk> serve(ModelRun run, Placed placed) {
        if (!placed.decision().placed()) {
            return Flux.error(busy(placed));
        }
        return Mono.fromCallable(() -> mAuthenticator.authenticate(run.key()))
                .doOnNext(current -> run.lifecycle().place())
                .flatMapMany(current -> serve(run, placed, current.view().index()))
                .doOnError(e -> report(run, placed, failure(e), failedEngine(placed, e)))
                .doOnCancel(() -> report(run, placed, Kind.CANCELLED, null));
    }

    private static RefusalException busy(Placed placed) {
        return RefusalException.notRunRetry(
                RefusalReason.BUSY,
                placed.decision().retryAfterMillis(),
                Step.PLACE,
                "the engines are too busy to meet the latency targets");
    }

    private Flux<CompletionChunk> serve(ModelRun run, Placed placed, BundleIndex index) {
        Optional<BackendServer> prefill = index.backendServer(placed.decision().prefill());
        Optional<BackendServer> decode = index.backendServer(placed.decision().decode());
        if (prefill.isEmpty() || decode.isEmpty()) {
            return Flux.error(noKeeper());
        }
        EngineRequest call = run.engineRequest();
        long startNanos = mTicker.nowNanos();
        run.lifecycle().send();
        Flux<CompletionChunk> answer =
                mEngines.prefill(prefill.get(), call)
                        .doOnNext(result -> prefilled(run, placed, result, startNanos))
                        .flatMapMany(result -> decode(run, placed, decode.get(), call, result));
        return Flux.using(
                () -> reportWhileRunning(run, placed), reports -> answer, Disposable::dispose);
    }

    private Disposable reportWhileRunning(ModelRun run, Placed placed) {
        return Flux.interval(RUNNING_REPORT)
                .subscribe(tick -> report(run, placed, Kind.RUNNING, null));
    }

    private void prefilled(ModelRun run, Placed placed, PrefillResult result, long startNanos) {
        record(run, Timing.PREFILL, startNanos);
        run.usage()
                .recordPrompt(result.promptTokens() - run.deliveredTokens(), result.cachedTokens());
        mMetrics.count(Count.PROMPT_TOKENS, run.workspace(), result.promptTokens());
        mMetrics.count(Count.CACHED_TOKENS, run.workspace(), result.cachedTokens());
        report(run, placed, Kind.PREFILL_FINISHED, placed.decision().prefill());
    }

    private Flux<CompletionChunk> decode(
            ModelRun run,
            Placed placed,
            BackendServer engine,
            EngineRequest call,
            PrefillResult result) {
        StreamPosition position = new StreamPosition(run.deliveredTokens());
        TokenTimer clock = new TokenTimer(mTicker.nowNanos());
        return mEngines.decode(engine, call, result)
                .doOnNext(chunk -> time(run, placed, clock))
                .concatMap(chunk -> run.accept(chunk, position, engine.id()))
                .concatWith(Mono.defer(() -> run.requireComplete(engine.id())))
                .doOnComplete(() -> report(run, placed, Kind.FINISHED, engine.id()));
    }

    private void time(ModelRun run, Placed placed, TokenTimer clock) {
        long nowNanos = mTicker.nowNanos();
        long elapsedNanos = clock.recordToken(nowNanos);
        if (!clock.isFirstToken()) {
            mMetrics.record(Timing.BETWEEN_TOKENS, run.workspace(), elapsedNanos);
            return;
        }
        mMetrics.record(Timing.TRANSFER, run.workspace(), elapsedNanos);
        report(run, placed, Kind.FIRST_TOKEN, placed.decision().decode());
        if (run.deliveredTokens() == 0) {
            record(run, Timing.FIRST_TOKEN, run.receivedNanos());
        }
    }

    private static Kind failure(Throwable error) {
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

    private void record(ModelRun run, Timing timing, long sinceNanos) {
        mMetrics.record(timing, run.workspace(), mTicker.nowNanos() - sinceNanos);
    }
}
