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
 * Routes requests to plain services. A failed attempt is retried on another server only if the
 * request is repeatable or was certainly not sent.
 *
 * <p>Thread-safe.
 */
public final class ServiceRouter {
    private static final Logger LOG = Logger.getLogger(ServiceRouter.class);
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_AFTER_MILLIS = 500;

    private final ServiceClient mClient;
    private final ServerAvailability mAvailability;
    private final Ticker mTicker;

    /** Creates a router. */
    public ServiceRouter(ServiceClient client, ServerAvailability availability, Ticker ticker) {
        mClient = client;
        mAvailability = availability;
        mTicker = ticker;
    }

    /** Creates the lifecycle of a request that has just been admitted. */
    public RequestLifecycle newLifecycle(ServiceRequest request) {
        long deadlineNanos =
                mTicker.nowNanos() + TimeUnit.MILLISECONDS.toNanos(request.route().timeoutMillis());
        RequestLifecycle lifecycle =
                new RequestLifecycle(request.route().repeatable(), deadlineNanos, MAX_ATTEMPTS);
        lifecycle.admit();
        return lifecycle;
    }

    /** Returns the response of the service; fails with {@link RefusalException}. */
    public Mono<ServiceResponse> route(
            ServiceRequest request, RequestLifecycle lifecycle, BundleIndex index) {
        return route(request, lifecycle, index, Set.of());
    }

    private Mono<ServiceResponse> route(
            ServiceRequest request,
            RequestLifecycle lifecycle,
            BundleIndex index,
            Set<BackendServerId> tried) {
        List<BackendServer> servers =
                index.servers(request.route().service()).stream()
                        .filter(server -> !mAvailability.isLeaving(server.id()))
                        .toList();
        if (servers.isEmpty()) {
            return Mono.error(noServer(lifecycle));
        }
        BackendServer server = choose(servers, tried);
        return attempt(request, lifecycle, server)
                .onErrorResume(
                        BackendException.class,
                        e -> retry(request, lifecycle, index, plus(tried, server), e));
    }

    /**
     * Prefers an untried server that is available, then any untried server, then any server.
     * Chooses at random among equals.
     */
    private BackendServer choose(List<BackendServer> servers, Set<BackendServerId> tried) {
        List<BackendServer> untried =
                servers.stream().filter(s -> !tried.contains(s.id())).toList();
        List<BackendServer> available =
                untried.stream()
                        .filter(s -> mAvailability.isAvailable(s.id(), mTicker.nowNanos()))
                        .toList();
        return Stream.of(available, untried, servers)
                .filter(list -> !list.isEmpty())
                .findFirst()
                .map(list -> list.get(ThreadLocalRandom.current().nextInt(list.size())))
                .orElseThrow();
    }

    private static Set<BackendServerId> plus(Set<BackendServerId> tried, BackendServer server) {
        Set<BackendServerId> all = new HashSet<>(tried);
        all.add(server.id());
        return all;
    }

    private Mono<ServiceResponse> attempt(
            ServiceRequest request, RequestLifecycle lifecycle, BackendServer server) {
        lifecycle.place();
        return mClient.call(server, request, lifecycle::send)
                .doOnNext(response -> mAvailability.recordSuccess(server.id()))
                .doOnError(e -> mAvailability.recordFailure(server.id(), mTicker.nowNanos()));
    }

    private Mono<ServiceResponse> retry(
            ServiceRequest request,
            RequestLifecycle lifecycle,
            BundleIndex index,
            Set<BackendServerId> tried,
            BackendException error) {
        LOG.infof("request %s: attempt failed: %s", request.id(), error.getMessage());
        if (lifecycle.retry(mTicker.nowNanos())) {
            return route(request, lifecycle, index, tried);
        }
        return Mono.error(
                new RefusalException(
                        RefusalReason.BACKEND_FAILED,
                        lifecycle.runState(),
                        retryAfterMillis(lifecycle),
                        error.step(),
                        error.remote(),
                        "no complete response from the service"));
    }

    /** Returns zero for a request that may have run, so that the client is not told to retry it. */
    private static long retryAfterMillis(RequestLifecycle lifecycle) {
        return lifecycle.runState() == RunState.NOT_RUN ? RETRY_AFTER_MILLIS : 0;
    }

    private static RefusalException noServer(RequestLifecycle lifecycle) {
        return new RefusalException(
                RefusalReason.BUSY,
                lifecycle.runState(),
                retryAfterMillis(lifecycle),
                Step.PLACE,
                org.fuchsiaford.failure.RemoteName.SELF,
                "no server of the service is available");
    }
}
