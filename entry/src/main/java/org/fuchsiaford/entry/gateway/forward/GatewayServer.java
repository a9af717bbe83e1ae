package org.fuchsiaford.entry.gateway.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.CallerProtocol;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.http.RequestBody;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.EntryMetrics.Count;
import org.fuchsiaford.entry.metrics.EntryMetrics.Timing;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.WorkspaceId;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Takes callers' requests and answers each once.
 *
 * <p>Invariant: a stream that breaks off ends with its connection, so it never looks complete; a
 * host that is leaving serves what still comes and asks callers to close. Thread-safe.
 */
public final class GatewayServer {
    /** Longer than any idle limit of the declarations, so that callers close first. */
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);

    private static final int MAX_LINE_BYTES = 8_192;

    /** The longest headers that a declaration may allow. */
    private static final int MAX_HEADER_BYTES = 16_384;

    private static final HttpDecoderConfig DECODER =
            new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES);

    /** A caller that is still here asks for other hosts and comes back to one of them. */
    private static final long LEAVING_RETRY_MILLIS = 50;

    private static final WorkspaceId NO_WORKSPACE = new WorkspaceId("none");

    private final PeerAddress mAddress;
    private final CallerProtocol mProtocol;
    private final RouteGate mGate;
    private final PlainCourse mPlain;
    private final StreamCourse mStreams;
    private final EntryMetrics mMetrics;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final AtomicInteger mInFlight = new AtomicInteger();
    private volatile boolean mLeaving;
    private volatile long mServeUntilNanos;

    /** Creates a server; it listens once {@link #start} is called. */
    public GatewayServer(
            PeerAddress address,
            CallerProtocol protocol,
            RouteGate gate,
            PlainCourse plain,
            StreamCourse streams,
            EntryMetrics metrics,
            DecisionLog log,
            Ticker ticker) {
        mAddress = address;
        mProtocol = protocol;
        mGate = gate;
        mPlain = plain;
        mStreams = streams;
        mMetrics = metrics;
        mLog = log;
        mTicker = ticker;
    }

    /** Starts to listen; the result stops it. */
    public Mono<? extends DisposableServer> start() {
        return HttpServer.create()
                .host(mAddress.host())
                .port(mAddress.port())
                .idleTimeout(IDLE_LIMIT)
                .doOnChannelInit(
                        (observer, channel, address) -> {
                            OneLength.add(channel.pipeline(), DECODER);
                            HeadDeadline.add(channel.pipeline(), mGate::headMillis);
                        })
                .handle(this::handle)
                .bind();
    }

    /**
     * Asks callers to close from now on. Requests that still come are served until callers must
     * have gone, then refused: what starts later might not be finished before the process ends.
     */
    public void startLeaving(long serveUntilNanos) {
        mServeUntilNanos = serveUntilNanos;
        mLeaving = true;
    }

    /** Returns how many requests have no final answer yet. */
    public int inFlight() {
        return mInFlight.get();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        RequestTrace trace = new RequestTrace(mTicker.nowNanos());
        mInFlight.incrementAndGet();
        if (mLeaving) {
            response.keepAlive(false);
        }
        return Mono.fromCallable(() -> read(request, trace))
                .flatMap(caller -> serve(caller, request, response, trace))
                .onErrorResume(e -> conclude(e, response, trace))
                .doFinally(signal -> end(trace));
    }

    private CallerRequest read(HttpServerRequest request, RequestTrace trace)
            throws RefusalException {
        if (mLeaving && trace.startNanos() - mServeUntilNanos > 0) {
            throw RefusalException.notRunRetry(
                    RefusalReason.HOST_NOT_SERVING,
                    LEAVING_RETRY_MILLIS,
                    Step.ADMIT,
                    "this host is leaving; use another one");
        }
        return mProtocol.read(request, trace.startNanos());
    }

    private void end(RequestTrace trace) {
        mInFlight.decrementAndGet();
        mLog.write(trace.end(mTicker.nowNanos()));
    }

    private Mono<Void> serve(
            CallerRequest caller,
            HttpServerRequest request,
            HttpServerResponse response,
            RequestTrace trace) {
        trace.read(caller.id().value());
        return Mono.fromCallable(() -> pass(caller, trace))
                .flatMap(
                        passage ->
                                RequestBody.read(request, passage.table().limits().maxBodyBytes())
                                        .defaultIfEmpty(new byte[0])
                                        .flatMap(body -> admit(caller, body, response, trace)));
    }

    private RouteGate.Passage pass(CallerRequest caller, RequestTrace trace)
            throws RefusalException {
        RouteGate.Passage passage = mGate.pass(caller);
        trace.passed(passage);
        return passage;
    }

    /** Looks route and key up once more, since the body may have taken its time. */
    private Mono<Void> admit(
            CallerRequest caller, byte[] body, HttpServerResponse response, RequestTrace trace) {
        return Mono.fromCallable(() -> pass(caller, trace))
                .flatMap(
                        passage ->
                                Mono.fromCallable(() -> charge(caller, passage))
                                        .flatMap(
                                                tokens ->
                                                        run(
                                                                caller, body, passage, tokens,
                                                                response, trace)));
    }

    private long charge(CallerRequest caller, RouteGate.Passage passage) throws RefusalException {
        WorkspaceId workspace = passage.workspace().map(w -> w.id()).orElse(NO_WORKSPACE);
        mMetrics.count(Count.REQUESTS, workspace, 1);
        return passage.workspace().isPresent()
                ? mGate.charge(caller, passage.workspace().get())
                : 0;
    }

    private Mono<Void> run(
            CallerRequest caller,
            byte[] body,
            RouteGate.Passage passage,
            long tokens,
            HttpServerResponse response,
            RequestTrace trace) {
        RequestContext context =
                new RequestContext(
                        caller,
                        body,
                        passage.route(),
                        passage.route().pickService(ThreadLocalRandom.current().nextDouble()),
                        passage.workspace(),
                        trace.startNanos(),
                        deadline(caller, passage, trace));
        trace.admitted(context);
        Mono<Void> answer =
                passage.route().kind().isStream()
                        ? stream(context, response, trace)
                        : plain(context, response, trace);
        return answer.doFinally(signal -> settle(context, passage, tokens));
    }

    private static long deadline(
            CallerRequest caller, RouteGate.Passage passage, RequestTrace trace) {
        long routeNanos = TimeUnit.MILLISECONDS.toNanos(passage.route().timeoutMillis());
        return Math.min(caller.deadlineNanos(), trace.startNanos() + routeNanos);
    }

    private void settle(RequestContext context, RouteGate.Passage passage, long tokens) {
        if (tokens > 0 && !context.attempts().mayHaveRun() && passage.workspace().isPresent()) {
            mGate.refund(passage.workspace().get(), tokens);
        }
    }

    private Mono<Void> plain(
            RequestContext context, HttpServerResponse response, RequestTrace trace) {
        return mPlain.run(context)
                .switchIfEmpty(Mono.error(GatewayServer::noAnswer))
                .flatMap(
                        answer -> {
                            mProtocol.writeHead(response, answer.head());
                            response.header(
                                    HttpHeaderNames.CONTENT_LENGTH,
                                    Integer.toString(answer.body().length));
                            noteHead(Timing.SERVICE_CALL, context, answer.head().status(), trace);
                            return response.sendByteArray(Mono.just(answer.body())).then();
                        })
                .doOnSuccess(done -> trace.answered());
    }

    private Mono<Void> stream(
            RequestContext context, HttpServerResponse response, RequestTrace trace) {
        return mStreams.run(context)
                .switchOnFirst(
                        (first, all) -> {
                            if (!(first.get() instanceof AnswerPart.Head head)) {
                                return all.then(Mono.<Void>error(noAnswer())).flux();
                            }
                            mProtocol.writeHead(response, head.head());
                            noteHead(Timing.FIRST_TOKEN, context, head.head().status(), trace);
                            return response.send(
                                            all.skip(1)
                                                    .cast(AnswerPart.Bytes.class)
                                                    .map(b -> Unpooled.wrappedBuffer(b.bytes()))
                                                    .doOnComplete(trace::answered)
                                                    .doOnCancel(trace::cancelled),
                                            buffer -> true)
                                    .then()
                                    .flux();
                        })
                .then();
    }

    /** A course that ends without an answer or an error would look like an empty success. */
    private static IllegalStateException noAnswer() {
        return new IllegalStateException("a course ended without an answer");
    }

    private void noteHead(Timing timing, RequestContext context, int status, RequestTrace trace) {
        trace.head(status, mTicker.nowNanos());
        WorkspaceId workspace = context.workspaceId().orElse(NO_WORKSPACE);
        mMetrics.record(timing, workspace, trace.firstByteNanos());
        mMetrics.count(Count.ANSWERS, workspace, 1);
    }

    private Mono<Void> conclude(Throwable error, HttpServerResponse response, RequestTrace trace) {
        if (trace.isHeadSent()) {
            trace.failed(error);
            response.withConnection(connection -> connection.channel().close());
            return Mono.empty();
        }
        RefusalException refusal = refusalOf(error);
        trace.refused(refusal);
        mMetrics.countRefusal(refusal.reason(), NO_WORKSPACE);
        mProtocol.writeRefusal(response, refusal);
        response.header(HttpHeaderNames.CONTENT_LENGTH, "0");
        return response.send().then();
    }

    private static RefusalException refusalOf(Throwable error) {
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
