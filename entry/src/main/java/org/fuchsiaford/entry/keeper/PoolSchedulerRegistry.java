package org.fuchsiaford.entry.keeper;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.backend.ServerAvailability;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.bundle.Model;
import org.fuchsiaford.entry.backend.EngineClient;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.entry.member.ServingView;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.placement.ModelSpec;
import org.fuchsiaford.placement.PlacementDecision;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * The pools that this host schedules. The runner of a pool is created on the first request for the
 * pool. Each request updates the engines of the pool from the bundle, without the servers that are
 * leaving.
 *
 * <p>Thread-safe.
 */
public final class PoolSchedulerRegistry {
    private static final long UNKNOWN_POOL_RETRY_AFTER_MILLIS = 500;

    private final Membership mMembership;
    private final EngineClient mClient;
    private final ServerAvailability mAvailability;
    private final Ticker mTicker;
    private final Map<PoolId, PoolSchedulerRunner> mRunners = new ConcurrentHashMap<>();

    /** Creates an empty registry. */
    public PoolSchedulerRegistry(
            Membership membership,
            EngineClient client,
            ServerAvailability availability,
            Ticker ticker) {
        mMembership = membership;
        mClient = client;
        mAvailability = availability;
        mTicker = ticker;
    }

    /** Returns the response to a request, or nothing if the request is of another kind. */
    public Optional<Mono<PeerMessage>> handle(PeerMessage message) {
        if (message instanceof PeerMessage.RequestPlacement request) {
            return Optional.of(place(request));
        }
        if (message instanceof PeerMessage.CancelPlacement cancel) {
            Optional.ofNullable(mRunners.get(cancel.pool()))
                    .ifPresent(runner -> runner.cancel(cancel.request()));
            return Optional.of(Mono.just(new PeerMessage.Success()));
        }
        if (message instanceof PeerMessage.ReportPlacementEvent report) {
            Optional.ofNullable(mRunners.get(report.pool()))
                    .ifPresent(runner -> runner.recordEvent(report.event()));
            return Optional.of(Mono.just(new PeerMessage.Success()));
        }
        return Optional.empty();
    }

    private Mono<PeerMessage> place(PeerMessage.RequestPlacement request) {
        Optional<PoolSchedulerRunner> runner =
                mMembership.servingView().flatMap(view -> runner(view, request.pool()));
        if (runner.isEmpty()) {
            PlacementDecision refusal =
                    PlacementDecision.refuse(
                            request.request().request(), UNKNOWN_POOL_RETRY_AFTER_MILLIS);
            return Mono.just(new PeerMessage.PlacementResponse(refusal));
        }
        return runner.get().place(request.request()).map(PeerMessage.PlacementResponse::new);
    }

    private Optional<PoolSchedulerRunner> runner(ServingView view, PoolId pool) {
        BundleIndex index = view.index();
        List<BackendServer> engines = withoutLeaving(index.engines(pool));
        return index.engines(pool).stream()
                .findFirst()
                .flatMap(engine -> index.model(engine.model()))
                .map(model -> runner(pool, model, engines));
    }

    private List<BackendServer> withoutLeaving(List<BackendServer> engines) {
        return engines.stream().filter(e -> !mAvailability.isLeaving(e.id())).toList();
    }

    private PoolSchedulerRunner runner(PoolId pool, Model model, List<BackendServer> engines) {
        ModelSpec spec = ModelSpec.of(model);
        PoolSchedulerRunner runner =
                mRunners.computeIfAbsent(
                        pool, id -> new PoolSchedulerRunner(spec, engines, mClient, mTicker));
        runner.reconfigure(spec, engines);
        return runner;
    }

    /** Stops scheduling all pools. */
    public void stop() {
        mRunners.values().forEach(PoolSchedulerRunner::stop);
    }
}
