package org.fuchsiaford.entry.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.bundle.Route;
import org.fuchsiaford.entry.limit.Admission;
import org.fuchsiaford.entry.limit.Charge;
import org.fuchsiaford.entry.member.Authenticator;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.entry.member.ServingView;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.EntryMetrics.Count;
import org.fuchsiaford.entry.metrics.EntryMetrics.Timing;
import org.fuchsiaford.entry.service.IdempotencyGuard;
import org.fuchsiaford.entry.service.ServiceRequest;
import org.fuchsiaford.entry.service.ServiceResponse;
import org.fuchsiaford.entry.service.ServiceRouter;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.request.RequestLifecycle;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.WorkspaceId;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves the declared routes to plain services.
 *
 * <p>Invariant: no header that contains the client's API key is sent to a backend server.
 * Thread-safe.
 */
public final class RouteHandler {
    private static final WorkspaceId OPEN_ROUTE_WORKSPACE = new WorkspaceId("open");

    /** Hop-by-hop headers, credentials, and headers that the router sets itself. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "authorization",
                    "proxy-authorization",
                    "cookie",
                    "connection",
                    "keep-alive",
                    "transfer-encoding",
                    "content-length",
                    "te",
                    "trailer",
                    "upgrade",
                    "host",
                    "expect",
                    "x-request-id",
                    "x-workspace");

    private final Membership mMembership;
    private final Authenticator mAuthenticator;
    private final Admission mAdmission;
    private final ServiceRouter mRouter;
    private final IdempotencyGuard mIdempotencyGuard;
    private final EntryMetrics mMetrics;
    private final Ticker mTicker;

    /**
     * The client of a request, authenticated against one view. A request on an open route has no
     * workspace and is not charged.
     */
    private record Caller(ServingView view, Optional<Authenticator.Authenticated> authenticated) {
        WorkspaceId workspace() {
            return authenticated.map(a -> a.workspace().id()).orElse(OPEN_ROUTE_WORKSPACE);
        }
    }

    /** Creates a handler. */
    public RouteHandler(
            Membership membership,
            Authenticator authenticator,
            Admission admission,
            ServiceRouter router,
            IdempotencyGuard guard,
            EntryMetrics metrics,
            Ticker ticker) {
        mMembership = membership;
        mAuthenticator = authenticator;
        mAdmission = admission;
        mRouter = router;
        mIdempotencyGuard = guard;
        mMetrics = metrics;
        mTicker = ticker;
    }

    /** Handles a request; fails with {@link RefusalException} if no response has been sent. */
    Mono<Void> handle(RequestId id, HttpServerRequest request, HttpServerResponse response) {
        return Mono.fromCallable(() -> route(request))
                .flatMap(
                        route ->
                                Mono.fromCallable(() -> caller(route, request.requestHeaders()))
                                        .then(RequestBody.read(request))
                                        .flatMap(body -> serve(id, route, request, body)))
                .flatMap(serviceResponse -> send(id, serviceResponse, response));
    }

    private Route route(HttpServerRequest request) throws RefusalException {
        String path = "/" + request.path();
        Route route =
                mMembership
                        .requireServingView()
                        .index()
                        .route(path)
                        .orElseThrow(
                                () ->
                                        RefusalException.notRun(
                                                RefusalReason.NOT_FOUND,
                                                Step.ADMIT,
                                                "no route for this path"));
        if (!route.methods().contains(request.method().name())) {
            throw RefusalException.notRun(
                    RefusalReason.METHOD_NOT_ALLOWED,
                    Step.ADMIT,
                    "the route does not accept " + request.method().name());
        }
        return route;
    }

    private Caller caller(Route route, HttpHeaders headers) throws RefusalException {
        if (route.open()) {
            return new Caller(mMembership.requireServingView(), Optional.empty());
        }
        Authenticator.Authenticated caller = mAuthenticator.authenticate(headers);
        if (!caller.workspace().routes().contains(route.path())) {
            throw RefusalException.notRun(
                    RefusalReason.FORBIDDEN,
                    Step.ADMIT,
                    "the workspace is not allowed to use this route");
        }
        return new Caller(caller.view(), Optional.of(caller));
    }

    private Mono<ServiceResponse> serve(
            RequestId id, Route route, HttpServerRequest request, byte[] body) {
        return Mono.fromCallable(() -> caller(route, request.requestHeaders()))
                .flatMap(
                        caller -> {
                            ServiceRequest serviceRequest =
                                    toServiceRequest(id, route, request, body, caller);
                            mMetrics.count(Count.REQUESTS, caller.workspace(), 1);
                            return admit(route, caller)
                                    .flatMap(
                                            charge ->
                                                    runAndSettle(
                                                            serviceRequest,
                                                            caller,
                                                            request,
                                                            charge))
                                    .doOnError(e -> countRefusal(caller, e));
                        });
    }

    private void countRefusal(Caller caller, Throwable error) {
        RefusalException refusal = ProblemDocuments.refusalOf(error, RunState.UNKNOWN);
        mMetrics.countRefusal(refusal.reason(), caller.workspace());
    }

    private ServiceRequest toServiceRequest(
            RequestId id, Route route, HttpServerRequest request, byte[] body, Caller caller) {
        HttpHeaders headers = new DefaultHttpHeaders();
        request.requestHeaders().entries().stream()
                .filter(h -> !NOT_FORWARDED.contains(h.getKey().toLowerCase(Locale.ROOT)))
                .filter(h -> !containsApiKey(h.getValue(), request.requestHeaders()))
                .forEach(h -> headers.add(h.getKey(), h.getValue()));
        headers.set("X-Request-Id", id.value());
        caller.authenticated()
                .ifPresent(a -> headers.set("X-Workspace", a.workspace().id().value()));
        return new ServiceRequest(id, route, request.method(), request.uri(), headers, body);
    }

    /** Clients may mistakenly repeat their API key in other headers. */
    private static boolean containsApiKey(String value, HttpHeaders headers) {
        String authorization = headers.get("Authorization");
        if (authorization == null) {
            return false;
        }
        String key = authorization.substring(authorization.indexOf(' ') + 1).trim();
        return !key.isEmpty() && value.contains(key);
    }

    private Mono<Optional<Charge>> admit(Route route, Caller caller) {
        if (caller.authenticated().isEmpty() || route.costTokens() == 0) {
            return Mono.just(Optional.empty());
        }
        return mAdmission
                .admit(caller.view(), caller.authenticated().get().workspace(), route.costTokens())
                .map(Optional::of);
    }

    private Mono<ServiceResponse> runAndSettle(
            ServiceRequest serviceRequest,
            Caller caller,
            HttpServerRequest request,
            Optional<Charge> charge) {
        String key = request.requestHeaders().get("Idempotency-Key");
        boolean claimKey = key != null && !serviceRequest.route().repeatable();
        RequestLifecycle lifecycle = mRouter.newLifecycle(serviceRequest);
        Mono<ServiceResponse> response =
                claimKey
                        ? runIdempotent(serviceRequest, caller, key, lifecycle)
                        : forward(serviceRequest, caller, lifecycle);
        return response.doFinally(signal -> charge.ifPresent(c -> settle(c, lifecycle)));
    }

    private void settle(Charge charge, RequestLifecycle lifecycle) {
        mAdmission.settle(charge, lifecycle.runState() == RunState.NOT_RUN ? 0 : charge.tokens());
    }

    private Mono<ServiceResponse> runIdempotent(
            ServiceRequest serviceRequest, Caller caller, String key, RequestLifecycle lifecycle) {
        Digest keyDigest = Digest.of(key.getBytes(StandardCharsets.UTF_8));
        return mIdempotencyGuard
                .claim(StoreKeys.idempotency(caller.workspace(), keyDigest), digest(serviceRequest))
                .flatMap(
                        claim ->
                                claim.earlierResponse()
                                        .map(Mono::just)
                                        .orElseGet(
                                                () ->
                                                        runAndStore(
                                                                serviceRequest,
                                                                caller,
                                                                lifecycle,
                                                                claim)));
    }

    private Mono<ServiceResponse> runAndStore(
            ServiceRequest serviceRequest,
            Caller caller,
            RequestLifecycle lifecycle,
            IdempotencyGuard.Claim claim) {
        return forward(serviceRequest, caller, lifecycle)
                .flatMap(
                        response ->
                                mIdempotencyGuard
                                        .storeResponse(claim, response)
                                        .thenReturn(response))
                .onErrorResume(e -> releaseIfNotRun(claim, lifecycle).then(Mono.error(e)));
    }

    private Mono<Void> releaseIfNotRun(IdempotencyGuard.Claim claim, RequestLifecycle lifecycle) {
        return lifecycle.runState() == RunState.NOT_RUN
                ? mIdempotencyGuard.release(claim)
                : Mono.empty();
    }

    private static Digest digest(ServiceRequest serviceRequest) {
        String requestLine = serviceRequest.method().name() + " " + serviceRequest.uri() + "\n";
        byte[] prefix = requestLine.getBytes(StandardCharsets.UTF_8);
        byte[] all = java.util.Arrays.copyOf(prefix, prefix.length + serviceRequest.body().length);
        System.arraycopy(
                serviceRequest.body(), 0, all, prefix.length, serviceRequest.body().length);
        return Digest.of(all);
    }

    /**
     * Checks lease and API key again right before sending, since either may have become invalid in
     * the meantime.
     */
    private Mono<ServiceResponse> forward(
            ServiceRequest serviceRequest, Caller caller, RequestLifecycle lifecycle) {
        long startNanos = mTicker.nowNanos();
        return Mono.fromCallable(() -> revalidate(caller))
                .flatMap(view -> mRouter.route(serviceRequest, lifecycle, view.index()))
                .doOnNext(
                        response ->
                                mMetrics.record(
                                        Timing.SERVICE_CALL,
                                        caller.workspace(),
                                        mTicker.nowNanos() - startNanos));
    }

    private ServingView revalidate(Caller caller) throws RefusalException {
        if (caller.authenticated().isEmpty()) {
            return mMembership.requireServingView();
        }
        return mAuthenticator.authenticate(caller.authenticated().get().key()).view();
    }

    private static Mono<Void> send(
            RequestId id, ServiceResponse serviceResponse, HttpServerResponse response) {
        response.status(serviceResponse.status()).header("X-Request-Id", id.value());
        if (serviceResponse.contentType() != null) {
            response.header("Content-Type", serviceResponse.contentType());
        }
        return response.sendByteArray(Mono.just(serviceResponse.body())).then();
    }
}
