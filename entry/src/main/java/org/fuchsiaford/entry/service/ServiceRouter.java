package org.fuchsiaford.entry.service;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.ServerAvailability;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.entry.backend.BackendException;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.request.RequestLife;
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
    public RequestLife admitted(ServiceCall call) {
        long deadlineNanos =
                mTicker.nowNanos() + TimeUnit.MILLISECONDS.toNanos(call.route().timeoutMillis());
        RequestLife life = new RequestLife(call.route().repeatable(), deadlineNanos, MAX_ATTEMPTS);
        life.admit();
        return life;
    }

    /** Returns the service's answer; fails with {@link RefusalException}. */
    public Mono<ServiceAnswer> route(ServiceCall call, RequestLife life, BundleIndex index) {
        List<BackendServer> servers =
                index.servers(call.route().service()).stream()
                        .filter(s -> mAvailability.isAvailable(s.id(), mTicker.nowNanos()))
                        .toList();
        if (servers.isEmpty()) {
            return Mono.error(noServer(life));
        }
        int chosen = ThreadLocalRandom.current().nextInt(servers.size());
        return attempt(call, life, servers.get(chosen))
                .onErrorResume(BackendException.class, e -> retry(call, life, index, e));
    }

    private Mono<ServiceAnswer> attempt(ServiceCall call, RequestLife life, BackendServer server) {
        life.place();
        return mClient.call(server, call, life::send)
                .doOnNext(answer -> mAvailability.succeed(server.id()))
                .doOnError(e -> mAvailability.fail(server.id(), mTicker.nowNanos()));
    }

    private Mono<ServiceAnswer> retry(
            ServiceCall call, RequestLife life, BundleIndex index, BackendException error) {
        LOG.infof("request %s: %s", call.id(), error.getMessage());
        if (life.retry(mTicker.nowNanos())) {
            return route(call, life, index);
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
    private static long retryMillis(RequestLife life) {
        return life.runState() == RunState.NOT_RUN ? RETRY_MILLIS : 0;
    }

    private static RefusalException noServer(RequestLife life) {
        return new RefusalException(
                RefusalReason.BUSY,
                life.runState(),
                retryMillis(life),
                Step.PLACE,
                org.fuchsiaford.failure.RemoteName.SELF,
                "no server of the service is available");
    }
}
