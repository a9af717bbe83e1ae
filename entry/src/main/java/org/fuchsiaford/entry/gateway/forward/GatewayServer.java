package org.fuchsiaford.entry.gateway.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.CallerProtocol;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.EntryMetrics.Count;
import org.fuchsiaford.entry.metrics.EntryMetrics.Timing;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.WorkspaceId;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * HTTP server that accepts the requests of callers and answers each exactly once.
 *
 * <p>Invariant: if a stream breaks off, its connection is closed, so that it never looks complete.
 * A stopping host closes connections after the response. Thread-safe.
 */
public final class GatewayServer {
    /** Longer than any idle timeout in a routing table, so that callers close connections first. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** Time in which a caller that is refused sends the rest of its request. */
    private static final Duration DISCARD_TIMEOUT = Duration.ofMillis(500);

    private static final WorkspaceId NO_WORKSPACE = new WorkspaceId("none");

    private final PeerAddress mAddress;
    private final CallerProtocol mProtocol;
    private final RouteAdmission mAdmission;
    private final BufferedForwarder mBufferedForwarder;
    private final StreamForwarder mStreamForwarder;
    private final HostShutdown mShutdown;
    private final EntryMetrics mMetrics;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final CallerConnections mConnections;
    private final RequestMemory mMemory;
    private final AtomicInteger mInFlightRequests = new AtomicInteger();
    private final AtomicInteger mLingering = new AtomicInteger();
    private volatile boolean mClosed;

    /** Creates a server; it listens once {@link #start} is called. */
    public GatewayServer(
            PeerAddress address,
            CallerProtocol protocol,
            RouteAdmission admission,
            BufferedForwarder bufferedForwarder,
            StreamForwarder streamForwarder,
            HostShutdown shutdown,
            CallerConnections connections,
            RequestMemory memory,
            EntryMetrics metrics,
            DecisionLog log,
            Ticker ticker) {
        mAddress = address;
        mProtocol = protocol;
        mAdmission = admission;
        mBufferedForwarder = bufferedForwarder;
        mStreamForwarder = streamForwarder;
        mShutdown = shutdown;
        mConnections = connections;
        mMemory = memory;
        mMetrics = metrics;
        mLog = log;
        mTicker = ticker;
    }

    /** Starts to listen. The result is used to stop the server. */
    public Mono<? extends DisposableServer> start() {
        return HttpServer.create()
                .host(mAddress.host())
                .port(mAddress.port())
                .idleTimeout(IDLE_TIMEOUT)
                .channelGroup(mConnections.all())
                .doOnChannelInit(
                        (observer, channel, address) -> {
                            mConnections.add(channel, mAdmission::headerTimeoutMillis);
                            LingeringClose.addTo(
                                    channel.pipeline(),
                                    () -> mShutdown.isStopping() && !mClosed,
                                    mAdmission::maxBodyBytes,
                                    mLingering);
                        })
                .handle(this::handle)
                .bind();
    }

    /**
     * Closes all connections. Those that are idle would else stay open while the process exits, and
     * a request that is sent then would wait for an answer until its end.
     */
    public void closeConnections() {
        mClosed = true;
        mConnections.close();
    }

    /** Returns the number of requests that are not answered or, if refused, not read. */
    public int inFlightRequests() {
        return mInFlightRequests.get() + mLingering.get();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        RequestTrace trace = new RequestTrace(mTicker.nowNanos());
        mInFlightRequests.incrementAndGet();
        if (mShutdown.isStopping()) {
            trace.recordStopping(mShutdown.startNanos());
        }
        return Mono.fromCallable(() -> read(request, trace))
                .flatMap(caller -> serve(caller, request, response, trace))
                .takeUntilOther(mShutdown.endedBefore(trace))
                .onErrorResume(e -> handleError(e, request, response, trace))
                .doFinally(signal -> end(trace));
    }

    private CallerRequest read(HttpServerRequest request, RequestTrace trace)
            throws RefusalException {
        mShutdown.requireOpen();
        return mProtocol.read(request, trace.startNanos());
    }

    private void end(RequestTrace trace) {
        mInFlightRequests.decrementAndGet();
        mLog.write(trace.endedEvent(mTicker.nowNanos()));
    }

    private Mono<Void> serve(
            CallerRequest caller,
            HttpServerRequest request,
            HttpServerResponse response,
            RequestTrace trace) {
        trace.recordRequest(caller.id().value());
        return Mono.fromCallable(() -> authorizeInTime(caller, trace))
                .flatMap(
                        authorized ->
                                mMemory.withBody(
                                        request,
                                        authorized.table().limits().maxBodyBytes(),
                                        body -> admit(caller, body, response, trace)));
    }

    /** A request that would not be sent any more is refused before its body arrives. */
    private RouteAdmission.AuthorizedRoute authorizeInTime(CallerRequest caller, RequestTrace trace)
            throws RefusalException {
        RouteAdmission.AuthorizedRoute authorized = authorize(caller, trace);
        mShutdown.requireTime(authorized.route(), deadline(caller, authorized, trace));
        return authorized;
    }

    private RouteAdmission.AuthorizedRoute authorize(CallerRequest caller, RequestTrace trace)
            throws RefusalException {
        RouteAdmission.AuthorizedRoute authorized = mAdmission.authorize(caller);
        trace.recordRoute(authorized);
        return authorized;
    }

    /** Looks up route and key again, since they may have changed while the body was received. */
    private Mono<Void> admit(
            CallerRequest caller, byte[] body, HttpServerResponse response, RequestTrace trace) {
        return Mono.fromCallable(() -> authorize(caller, trace))
                .flatMap(
                        authorized ->
                                chargeQuota(caller, authorized)
                                        .flatMap(
                                                charged ->
                                                        run(
                                                                caller,
                                                                body,
                                                                authorized,
                                                                charged,
                                                                response,
                                                                trace)));
    }

    private Mono<Optional<RouteAdmission.ChargedTokens>> chargeQuota(
            CallerRequest caller, RouteAdmission.AuthorizedRoute authorized) {
        WorkspaceId workspace = authorized.workspace().map(w -> w.id()).orElse(NO_WORKSPACE);
        mMetrics.count(Count.REQUESTS, workspace, 1);
        return authorized.workspace().isPresent()
                ? mAdmission.chargeQuota(caller, authorized.workspace().get())
                : Mono.just(Optional.empty());
    }

    private Mono<Void> run(
            CallerRequest caller,
            byte[] body,
            RouteAdmission.AuthorizedRoute authorized,
            Optional<RouteAdmission.ChargedTokens> charged,
            HttpServerResponse response,
            RequestTrace trace) {
        RequestContext context =
                new RequestContext(
                        caller,
                        body,
                        authorized.route(),
                        authorized.route().pickService(draw(caller, authorized.route())),
                        authorized.workspace(),
                        trace.startNanos(),
                        deadline(caller, authorized, trace));
        trace.recordAdmission(context);
        mShutdown.recordStart(context);
        Mono<Void> forwarded =
                authorized.route().kind().isStream()
                        ? forwardStream(context, response, trace)
                        : forwardBuffered(context, response, trace);
        return forwarded
                .onErrorMap(RefusalException.class, context::withRunState)
                .doFinally(
                        signal -> {
                            mShutdown.recordEnd(context);
                            refundIfNotRun(context, authorized, charged);
                        });
    }

    /** A stream that is taken up is drawn the service that began it. */
    private static double draw(CallerRequest caller, GatewayRoute route) {
        return route.kind().isStream()
                ? RequestContext.streamKey(caller).toFraction()
                : ThreadLocalRandom.current().nextDouble();
    }

    private static long deadline(
            CallerRequest caller, RouteAdmission.AuthorizedRoute authorized, RequestTrace trace) {
        long routeNanos = TimeUnit.MILLISECONDS.toNanos(authorized.route().timeoutMillis());
        return Math.min(caller.deadlineNanos(), trace.startNanos() + routeNanos);
    }

    private void refundIfNotRun(
            RequestContext context,
            RouteAdmission.AuthorizedRoute authorized,
            Optional<RouteAdmission.ChargedTokens> charged) {
        if (charged.isPresent()
                && !context.attempts().mayHaveRun()
                && authorized.workspace().isPresent()) {
            mAdmission.refundQuota(authorized.workspace().get(), charged.get());
        }
    }

    private Mono<Void> forwardBuffered(
            RequestContext context, HttpServerResponse response, RequestTrace trace) {
        return mBufferedForwarder
                .run(context)
                .takeUntilOther(mShutdown.waitedTooLong(context))
                .switchIfEmpty(Mono.error(GatewayServer::noResponse))
                .flatMap(
                        complete -> {
                            if (!trace.claimForServer()) {
                                return Mono.never();
                            }
                            writeHead(response, complete.head());
                            response.header(
                                    HttpHeaderNames.CONTENT_LENGTH,
                                    Integer.toString(complete.body().length));
                            recordHead(Timing.SERVICE_CALL, context, complete.head(), trace);
                            return response.sendByteArray(Mono.just(complete.body())).then();
                        })
                .doOnSuccess(done -> recordAnswered(context, trace));
    }

    private Mono<Void> forwardStream(
            RequestContext context, HttpServerResponse response, RequestTrace trace) {
        return mStreamForwarder
                .run(context)
                .takeUntilOther(mShutdown.waitedTooLong(context))
                .switchOnFirst(
                        (first, all) -> {
                            if (!(first.get() instanceof ResponsePart.Head head)) {
                                return all.then(Mono.<Void>error(noResponse())).flux();
                            }
                            if (!trace.claimForServer()) {
                                return Flux.never();
                            }
                            writeHead(response, head.head());
                            recordHead(Timing.FIRST_TOKEN, context, head.head(), trace);
                            return response.send(
                                            all.skip(1)
                                                    .cast(ResponsePart.Body.class)
                                                    .map(b -> Unpooled.wrappedBuffer(b.bytes()))
                                                    .doOnComplete(
                                                            () -> recordAnswered(context, trace))
                                                    .doOnCancel(trace::recordCancelled),
                                            buffer -> true)
                                    .then()
                                    .flux();
                        })
                .then();
    }

    /** A stopping host asks callers to use no connection again, whenever their request came. */
    private void writeHead(HttpServerResponse response, ResponseHead head) {
        mProtocol.writeHead(response, head);
        response.keepAlive(!mShutdown.isStopping());
    }

    private void recordAnswered(RequestContext context, RequestTrace trace) {
        trace.recordAnswered();
        mShutdown.recordAnswered(context);
    }

    /** Without this exception, a forwarder without response or error would look like success. */
    private static IllegalStateException noResponse() {
        return new IllegalStateException("the forwarder completed without a response");
    }

    private void recordHead(
            Timing timing, RequestContext context, ResponseHead head, RequestTrace trace) {
        trace.recordHead(head, mTicker.nowNanos());
        WorkspaceId workspace = context.workspaceId().orElse(NO_WORKSPACE);
        mMetrics.record(timing, workspace, trace.timeToFirstByteNanos());
        mMetrics.count(Count.ANSWERS, workspace, 1);
    }

    private Mono<Void> handleError(
            Throwable error,
            HttpServerRequest request,
            HttpServerResponse response,
            RequestTrace trace) {
        if (!trace.claimForHost()) {
            trace.recordFailure(error);
            response.withConnection(connection -> connection.channel().close());
            return Mono.empty();
        }
        RefusalException refusal = toRefusal(error);
        trace.recordRefusal(refusal);
        mMetrics.countRefusal(refusal.reason(), NO_WORKSPACE);
        mProtocol.writeRefusal(response, refusal);
        response.header(HttpHeaderNames.CONTENT_LENGTH, "0");
        if (!mShutdown.isStopping() && RequestMemory.endsConnection(refusal)) {
            return RequestMemory.refuseAndDiscard(request, response, DISCARD_TIMEOUT);
        }
        response.keepAlive(!mShutdown.isStopping());
        return response.send().then();
    }

    private static RefusalException toRefusal(Throwable error) {
        if (error instanceof RefusalException refusal) {
            return refusal;
        }
        return new RefusalException(
                RefusalReason.BACKEND_FAILED,
                RunState.UNKNOWN,
                0,
                Step.FORWARD,
                RemoteName.SELF,
                String.valueOf(error));
    }
}
