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
 * The pools that this host is the keeper of. A keeper is made on the first request for its pool and
 * follows the bundle and the list of leaving hosts with each request.
 *
 * <p>Thread-safe.
 */
public final class PoolSchedulerRegistry {
    private static final long UNKNOWN_POOL_RETRY_MILLIS = 500;

    private final Membership mMembership;
    private final EngineClient mClient;
    private final ServerAvailability mAvailability;
    private final Ticker mTicker;
    private final Map<PoolId, PoolSchedulerRunner> mKeepers = new ConcurrentHashMap<>();

    /** Creates a registry without keepers. */
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

    /** Returns the answer to a request, or nothing if it concerns something else. */
    public Optional<Mono<PeerMessage>> handle(PeerMessage message) {
        if (message instanceof PeerMessage.RequestPlacement place) {
            return Optional.of(place(place));
        }
        if (message instanceof PeerMessage.CancelPlacement withdraw) {
            Optional.ofNullable(mKeepers.get(withdraw.pool()))
                    .ifPresent(keeper -> keeper.cancel(withdraw.request()));
            return Optional.of(Mono.just(new PeerMessage.Success()));
        }
        if (message instanceof PeerMessage.ReportPlacementEvent report) {
            Optional.ofNullable(mKeepers.get(report.pool()))
                    .ifPresent(keeper -> keeper.recordEvent(report.event()));
            return Optional.of(Mono.just(new PeerMessage.Success()));
        }
        return Optional.empty();
    }

    private Mono<PeerMessage> place(PeerMessage.RequestPlacement place) {
        Optional<PoolSchedulerRunner> keeper =
                mMembership.servingView().flatMap(view -> keeper(view, place.pool()));
        if (keeper.isEmpty()) {
            PlacementDecision refusal =
                    PlacementDecision.refuse(place.request().request(), UNKNOWN_POOL_RETRY_MILLIS);
            return Mono.just(new PeerMessage.PlacementResponse(refusal));
        }
        return keeper.get().place(place.request()).map(PeerMessage.PlacementResponse::new);
    }

    private Optional<PoolSchedulerRunner> keeper(ServingView view, PoolId pool) {
        BundleIndex index = view.index();
        List<BackendServer> engines = available(index.engines(pool));
        return index.engines(pool).stream()
                .findFirst()
                .flatMap(engine -> index.model(engine.model()))
                .map(model -> keeper(pool, model, engines));
    }

    private List<BackendServer> available(List<BackendServer> engines) {
        return engines.stream().filter(e -> !mAvailability.isLeaving(e.id())).toList();
    }

    private PoolSchedulerRunner keeper(PoolId pool, Model model, List<BackendServer> engines) {
        ModelSpec spec = ModelSpec.of(model);
        PoolSchedulerRunner keeper =
                mKeepers.computeIfAbsent(
                        pool, id -> new PoolSchedulerRunner(spec, engines, mClient, mTicker));
        keeper.reconfigure(spec, engines);
        return keeper;
    }

    /** Stops all keepers. */
    public void stop() {
        mKeepers.values().forEach(PoolSchedulerRunner::stop);
    }
}
