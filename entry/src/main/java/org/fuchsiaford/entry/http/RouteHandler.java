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
 * <p>Invariant: no header that carries the caller's key reaches a backend server. Thread-safe.
 */
public final class RouteHandler {
    private static final WorkspaceId OPEN = new WorkspaceId("open");

    /** Headers that belong to one connection or to the caller's key. */
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
    private final IdempotencyGuard mGuard;
    private final EntryMetrics mMetrics;
    private final Ticker mTicker;

    /** Who may use a route, by one view; no workspace and no charge on an open route. */
    private record Caller(ServingView view, Optional<Authenticator.Authenticated> authenticated) {
        WorkspaceId workspace() {
            return authenticated.map(a -> a.workspace().id()).orElse(OPEN);
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
        mGuard = guard;
        mMetrics = metrics;
        mTicker = ticker;
    }

    /** Answers a request; fails with {@link RefusalException} before anything was sent. */
    Mono<Void> handle(RequestId id, HttpServerRequest request, HttpServerResponse response) {
        return Mono.fromCallable(() -> route(request))
                .flatMap(
                        route ->
                                Mono.fromCallable(() -> caller(route, request.requestHeaders()))
                                        .then(RequestBody.read(request))
                                        .flatMap(body -> serve(id, route, request, body)))
                .flatMap(answer -> send(id, answer, response));
    }

    private Route route(HttpServerRequest request) throws RefusalException {
        String path = "/" + request.path();
        Route route =
                mMembership
                        .requireServing()
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
            return new Caller(mMembership.requireServing(), Optional.empty());
        }
        Authenticator.Authenticated caller = mAuthenticator.authenticate(headers);
        if (!caller.workspace().routes().contains(route.path())) {
            throw RefusalException.notRun(
                    RefusalReason.FORBIDDEN, Step.ADMIT, "the workspace may not use this route");
        }
        return new Caller(caller.view(), Optional.of(caller));
    }

    private Mono<ServiceResponse> serve(
            RequestId id, Route route, HttpServerRequest request, byte[] body) {
        return Mono.fromCallable(() -> caller(route, request.requestHeaders()))
                .flatMap(
                        caller -> {
                            ServiceRequest call = call(id, route, request, body, caller);
                            mMetrics.count(Count.REQUESTS, caller.workspace(), 1);
                            return admit(route, caller)
                                    .flatMap(charge -> guarded(call, caller, request, charge))
                                    .doOnError(e -> refused(caller, e));
                        });
    }

    private void refused(Caller caller, Throwable error) {
        RefusalException refusal = ProblemDocuments.refusalOf(error, RunState.UNKNOWN);
        mMetrics.countRefusal(refusal.reason(), caller.workspace());
    }

    private ServiceRequest call(
            RequestId id, Route route, HttpServerRequest request, byte[] body, Caller caller) {
        HttpHeaders headers = new DefaultHttpHeaders();
        request.requestHeaders().entries().stream()
                .filter(h -> !NOT_FORWARDED.contains(h.getKey().toLowerCase(Locale.ROOT)))
                .filter(h -> !carriesKey(h.getValue(), request.requestHeaders()))
                .forEach(h -> headers.add(h.getKey(), h.getValue()));
        headers.set("X-Request-Id", id.value());
        caller.authenticated()
                .ifPresent(a -> headers.set("X-Workspace", a.workspace().id().value()));
        return new ServiceRequest(id, route, request.method(), request.uri(), headers, body);
    }

    /** A caller may send its key in other headers as well, by mistake. */
    private static boolean carriesKey(String value, HttpHeaders headers) {
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

    private Mono<ServiceResponse> guarded(
            ServiceRequest call,
            Caller caller,
            HttpServerRequest request,
            Optional<Charge> charge) {
        String key = request.requestHeaders().get("Idempotency-Key");
        boolean guard = key != null && !call.route().repeatable();
        RequestLifecycle life = mRouter.newLifecycle(call);
        Mono<ServiceResponse> answer =
                guard ? claimed(call, caller, key, life) : forward(call, caller, life);
        return answer.doFinally(signal -> charge.ifPresent(c -> settle(c, life)));
    }

    private void settle(Charge charge, RequestLifecycle life) {
        mAdmission.settle(charge, life.runState() == RunState.NOT_RUN ? 0 : charge.tokens());
    }

    private Mono<ServiceResponse> claimed(
            ServiceRequest call, Caller caller, String key, RequestLifecycle life) {
        Digest keyDigest = Digest.of(key.getBytes(StandardCharsets.UTF_8));
        return mGuard.claim(StoreKeys.idempotency(caller.workspace(), keyDigest), digest(call))
                .flatMap(
                        claim ->
                                claim.earlierResponse()
                                        .map(Mono::just)
                                        .orElseGet(() -> run(call, caller, life, claim)));
    }

    private Mono<ServiceResponse> run(
            ServiceRequest call,
            Caller caller,
            RequestLifecycle life,
            IdempotencyGuard.Claim claim) {
        return forward(call, caller, life)
                .flatMap(answer -> mGuard.storeResponse(claim, answer).thenReturn(answer))
                .onErrorResume(e -> release(claim, life).then(Mono.error(e)));
    }

    private Mono<Void> release(IdempotencyGuard.Claim claim, RequestLifecycle life) {
        return life.runState() == RunState.NOT_RUN ? mGuard.release(claim) : Mono.empty();
    }

    private static Digest digest(ServiceRequest call) {
        String line = call.method().name() + " " + call.uri() + "\n";
        byte[] start = line.getBytes(StandardCharsets.UTF_8);
        byte[] all = java.util.Arrays.copyOf(start, start.length + call.body().length);
        System.arraycopy(call.body(), 0, all, start.length, call.body().length);
        return Digest.of(all);
    }

    /** Checks lease and key once more right before sending: both may have gone meanwhile. */
    private Mono<ServiceResponse> forward(
            ServiceRequest call, Caller caller, RequestLifecycle life) {
        long startNanos = mTicker.nowNanos();
        return Mono.fromCallable(() -> recheck(caller))
                .flatMap(view -> mRouter.route(call, life, view.index()))
                .doOnNext(
                        answer ->
                                mMetrics.record(
                                        Timing.SERVICE_CALL,
                                        caller.workspace(),
                                        mTicker.nowNanos() - startNanos));
    }

    private ServingView recheck(Caller caller) throws RefusalException {
        if (caller.authenticated().isEmpty()) {
            return mMembership.requireServing();
        }
        return mAuthenticator.authenticate(caller.authenticated().get().key()).view();
    }

    private static Mono<Void> send(
            RequestId id, ServiceResponse answer, HttpServerResponse response) {
        response.status(answer.status()).header("X-Request-Id", id.value());
        if (answer.contentType() != null) {
            response.header("Content-Type", answer.contentType());
        }
        return response.sendByteArray(Mono.just(answer.body())).then();
    }
}
