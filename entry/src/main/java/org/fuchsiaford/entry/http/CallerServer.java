package org.fuchsiaford.entry.http;

import java.time.Duration;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.request.RequestId;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The HTTP server for the requests of clients, on the caller address. Every request gets a response
 * or a refusal, and counts as in flight until its response has been sent. Thread-safe.
 */
public final class CallerServer {
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /**
     * Covers headers and body. Longer than the read timeout of {@link RequestBody}, which yields an
     * error response rather than a closed connection.
     */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

    private static final String COMPLETIONS = "/v1/completions";
    private static final String ENTRY_HOSTS = "/v1/entry-hosts";

    private final PeerAddress mAddress;
    private final InFlightRequests mInFlight;
    private final CompletionsHandler mCompletions;
    private final EntryHostsHandler mEntryHosts;
    private final RouteHandler mRoutes;

    /** Creates a server; call {@link #start} to listen. */
    public CallerServer(
            PeerAddress address,
            InFlightRequests inFlight,
            CompletionsHandler completions,
            EntryHostsHandler entryHosts,
            RouteHandler routes) {
        mAddress = address;
        mInFlight = inFlight;
        mCompletions = completions;
        mEntryHosts = entryHosts;
        mRoutes = routes;
    }

    /** Starts listening; completes with the server, whose disposal stops it. */
    public Mono<? extends DisposableServer> start() {
        return HttpServer.create()
                .host(mAddress.host())
                .port(mAddress.port())
                .idleTimeout(IDLE_TIMEOUT)
                .requestTimeout(REQUEST_TIMEOUT)
                .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
                .handle(this::handle)
                .bind();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        RequestId id = RequestIds.of(request);
        return Mono.usingWhen(
                        Mono.fromCallable(this::begin),
                        counted -> dispatch(id, request, response),
                        counted -> end(),
                        (counted, error) -> end(),
                        counted -> end())
                .onErrorResume(e -> refuse(id, e, response));
    }

    private boolean begin() throws RefusalException {
        mInFlight.begin();
        return true;
    }

    private Mono<Void> end() {
        return Mono.fromRunnable(mInFlight::end);
    }

    private Mono<Void> dispatch(
            RequestId id, HttpServerRequest request, HttpServerResponse response) {
        String path = "/" + request.path();
        return switch (path) {
            case COMPLETIONS ->
                    requireMethod(
                            "POST", request, () -> mCompletions.handle(id, request, response));
            case ENTRY_HOSTS ->
                    requireMethod("GET", request, () -> mEntryHosts.handle(request, response));
            default -> mRoutes.handle(id, request, response);
        };
    }

    private static Mono<Void> requireMethod(
            String method,
            HttpServerRequest request,
            java.util.function.Supplier<Mono<Void>> handler) {
        if (request.method().name().equals(method)) {
            return handler.get();
        }
        return Mono.error(
                RefusalException.notRun(
                        RefusalReason.METHOD_NOT_ALLOWED, Step.ADMIT, "use " + method));
    }

    private static Mono<Void> refuse(RequestId id, Throwable e, HttpServerResponse response) {
        if (response.hasSentHeaders()) {
            return Mono.error(e);
        }
        return ProblemDocuments.send(response, ProblemDocuments.refusalOf(e, RunState.UNKNOWN), id);
    }
}
