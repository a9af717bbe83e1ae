package org.fuchsiaford.entry.service;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServerAvailability;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.entry.backend.BackendException;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.request.RequestLifecycle;
import org.fuchsiaford.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Routes a request to a plain service. A failed attempt is repeated on another server only if the
 * request may be repeated or certainly was not sent.
 *
 * <p>Thread-safe.
 */
public final class ServiceRouter {
    private static final Logger LOG = Logger.getLogger(ServiceRouter.class);
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_MILLIS = 500;

    private final ServiceClient mClient;
    private final ServerAvailability mAvailability;
    private final Ticker mTicker;

    /** Creates a router. */
    public ServiceRouter(ServiceClient client, ServerAvailability availability, Ticker ticker) {
        mClient = client;
        mAvailability = availability;
        mTicker = ticker;
    }

    /** Returns the life cycle of a request that was just admitted. */
    public RequestLifecycle newLifecycle(ServiceRequest call) {
        long deadlineNanos =
                mTicker.nowNanos() + TimeUnit.MILLISECONDS.toNanos(call.route().timeoutMillis());
        RequestLifecycle life =
                new RequestLifecycle(call.route().repeatable(), deadlineNanos, MAX_ATTEMPTS);
        life.admit();
        return life;
    }

    /** Returns the service's answer; fails with {@link RefusalException}. */
    public Mono<ServiceResponse> route(
            ServiceRequest call, RequestLifecycle life, BundleIndex index) {
        return route(call, life, index, Set.of());
    }

    private Mono<ServiceResponse> route(
            ServiceRequest call,
            RequestLifecycle life,
            BundleIndex index,
            Set<BackendServerId> tried) {
        List<BackendServer> servers =
                index.servers(call.route().service()).stream()
                        .filter(server -> !mAvailability.isLeaving(server.id()))
                        .toList();
        if (servers.isEmpty()) {
            return Mono.error(noServer(life));
        }
        BackendServer server = choose(servers, tried);
        return attempt(call, life, server)
                .onErrorResume(
                        BackendException.class,
                        e -> retry(call, life, index, withServer(tried, server), e));
    }

    /** A server that is neither tried nor known to fail, else one that is not tried, else any. */
    private BackendServer choose(List<BackendServer> servers, Set<BackendServerId> tried) {
        List<BackendServer> fresh = servers.stream().filter(s -> !tried.contains(s.id())).toList();
        List<BackendServer> good =
                fresh.stream()
                        .filter(s -> mAvailability.isAvailable(s.id(), mTicker.nowNanos()))
                        .toList();
        return Stream.of(good, fresh, servers)
                .filter(list -> !list.isEmpty())
                .findFirst()
                .map(list -> list.get(ThreadLocalRandom.current().nextInt(list.size())))
                .orElseThrow();
    }

    private static Set<BackendServerId> withServer(
            Set<BackendServerId> tried, BackendServer server) {
        Set<BackendServerId> all = new HashSet<>(tried);
        all.add(server.id());
        return all;
    }

    private Mono<ServiceResponse> attempt(
            ServiceRequest call, RequestLifecycle life, BackendServer server) {
        life.place();
        return mClient.call(server, call, life::send)
                .doOnNext(answer -> mAvailability.recordSuccess(server.id()))
                .doOnError(e -> mAvailability.recordFailure(server.id(), mTicker.nowNanos()));
    }

    private Mono<ServiceResponse> retry(
            ServiceRequest call,
            RequestLifecycle life,
            BundleIndex index,
            Set<BackendServerId> tried,
            BackendException error) {
        LOG.infof("request %s: %s", call.id(), error.getMessage());
        if (life.retry(mTicker.nowNanos())) {
            return route(call, life, index, tried);
        }
        return Mono.error(
                new RefusalException(
                        RefusalReason.BACKEND_FAILED,
                        life.runState(),
                        retryMillis(life),
                        error.step(),
                        error.remote(),
                        "the service did not answer in full"));
    }

    /** A caller is not told to come back with a request that may have run. */
    private static long retryMillis(RequestLifecycle life) {
        return life.runState() == RunState.NOT_RUN ? RETRY_MILLIS : 0;
    }

    private static RefusalException noServer(RequestLifecycle life) {
        return new RefusalException(
                RefusalReason.BUSY,
                life.runState(),
                retryMillis(life),
                Step.PLACE,
                org.fuchsiaford.failure.RemoteName.SELF,
                "no server of the service is available");
    }
}
