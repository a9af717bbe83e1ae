package org.fuchsiaford.entry.gateway.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.entry.gateway.protocol.BodyFraming;
import org.fuchsiaford.entry.gateway.protocol.KvSource;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;
import org.fuchsiaford.entry.gateway.protocol.ServerProtocol;
import org.fuchsiaford.entry.gateway.protocol.ServerRequest;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.hostmemory.ServerByteLimit;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.store.http.CallConnection;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Calls backend servers. Each call uses a new connection: connecting proves that the server is
 * reachable, the connection cannot carry the response of another request, and closing it cancels
 * the call.
 *
 * <p>Invariant: a failure has the outcome {@link AttemptOutcome#NOT_SENT} only if no byte of the
 * request was passed to a connection. Thread-safe.
 */
public final class ServerClient {
    /**
     * Several round trips within a region; a server that takes longer is considered unreachable.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(500);

    private final HttpClient mClient;
    private final ServerProtocol mProtocol;
    private final ServerNotices mNotices;
    private final ServerByteLimit mBytes;

    /** Creates a client. */
    public ServerClient(ServerProtocol protocol, ServerNotices notices, ServerByteLimit bytes) {
        mBytes = bytes;
        mProtocol = protocol;
        mNotices = notices;
        mClient =
                HttpClient.create(ConnectionProvider.newConnection())
                        .disableRetry(true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Sends a request. The connection is closed when the response ends, fails or is cancelled.
     *
     * @param body the body of the caller's request
     * @param step the step that errors are reported for
     * @param timeout the timeout for the complete response
     * @return the parts of the response; fails with {@link BackendCallException}
     */
    Flux<ResponsePart> exchange(ServerRequest request, byte[] body, Step step, Duration timeout) {
        BackendServerId server = request.server().id();
        return Flux.defer(
                () ->
                        mBytes.tryBegin(server, body.length)
                                ? call(request, body, step, timeout)
                                        .doFinally(signal -> mBytes.end(server, body.length))
                                : Flux.error(
                                        BackendCallException.notCalled(
                                                step,
                                                new RemoteName(server.value()),
                                                "too many bytes in progress at the server")));
    }

    private Flux<ResponsePart> call(
            ServerRequest request, byte[] body, Step step, Duration timeout) {
        return CallConnection.ownStream(
                mClient,
                client -> {
                    AtomicReference<SendState> state = new AtomicReference<>(SendState.WAITING);
                    Mono<Void> deadline =
                            Mono.delay(timeout)
                                    .then(
                                            Mono.error(
                                                    new TimeoutException(
                                                            "no complete response within the"
                                                                    + " timeout")));
                    return send(client, request, body, state)
                            .takeUntilOther(deadline)
                            .onErrorMap(e -> failure(request, step, isSent(state), e));
                });
    }

    /** Whether a call has failed before its request was sent is decided once. */
    private enum SendState {
        WAITING,
        SENT,
        FAILED
    }

    /** Returns whether the request of a failed call may have been sent; if not, it never is. */
    private static boolean isSent(AtomicReference<SendState> state) {
        return !state.compareAndSet(SendState.WAITING, SendState.FAILED)
                && state.get() == SendState.SENT;
    }

    /** Called before the first byte is written, which an exception prevents. */
    private static void beginSend(AtomicReference<SendState> state) {
        if (!state.compareAndSet(SendState.WAITING, SendState.SENT)
                && state.get() == SendState.FAILED) {
            throw new CancellationException("the call has failed before");
        }
    }

    private Flux<ResponsePart> send(
            HttpClient client,
            ServerRequest request,
            byte[] body,
            AtomicReference<SendState> state) {
        HttpMethod method = request.caller().method();
        AtomicBoolean written = new AtomicBoolean();
        boolean hasBody = body.length > 0 || !method.equals(HttpMethod.GET);
        HttpClient.RequestSender sender =
                client.doOnRequest((r, connection) -> beginSend(state))
                        .doAfterRequest((r, connection) -> written.set(true))
                        .headers(
                                headers -> {
                                    headers.set(mProtocol.headers(request));
                                    if (hasBody) {
                                        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
                                    }
                                })
                        .request(method)
                        .uri("http://" + request.server().address() + request.caller().uri());
        HttpClient.ResponseReceiver<?> receiver =
                hasBody
                        ? sender.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                        : sender;
        return receiver.response(
                (response, content) ->
                        Flux.concat(
                                Mono.fromSupplier(() -> head(request, response)),
                                content.asByteArray().map(ResponsePart.Body::new),
                                Flux.defer(() -> checkEnd(response, written.get()))));
    }

    /**
     * Fails if a response that only the end of the connection delimits ends while the request is
     * still being written. The connection was then reset, which the codec takes for its end if a
     * write meets the reset before a read does.
     */
    private static Flux<ResponsePart> checkEnd(HttpClientResponse response, boolean written) {
        return written || BodyFraming.of(response.responseHeaders()) != BodyFraming.CONNECTION_CLOSE
                ? Flux.empty()
                : Flux.error(
                        new IOException("the connection ended before the request was written"));
    }

    private ResponsePart head(ServerRequest request, HttpClientResponse response) {
        ResponseHead head =
                mProtocol.readHead(
                        request.purpose(),
                        request.caller().id(),
                        response.status().code(),
                        response.responseHeaders());
        mNotices.record(request.server(), head.notice(), request.caller().id());
        return new ResponsePart.Head(head);
    }

    private static BackendCallException failure(
            ServerRequest request, Step step, boolean sent, Throwable cause) {
        if (cause instanceof BackendCallException callException) {
            return callException;
        }
        RemoteName server = new RemoteName(request.server().id().value());
        String message = cause.getClass().getSimpleName() + ": " + cause.getMessage();
        if (sent && cause instanceof IOException) {
            return BackendCallException.brokenOff(step, server, message);
        }
        return new BackendCallException(
                step, server, sent ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_SENT, message);
    }

    /**
     * Releases KV cache that will not be fetched. Completes normally even if the call fails, since
     * the KV cache expires by itself.
     */
    Mono<Void> releaseKvCache(KvSource source) {
        ServerAddress address = source.address();
        return CallConnection.own(
                mClient,
                client ->
                        client.delete()
                                .uri("http://" + address + mProtocol.releasePath(source))
                                .response()
                                .timeout(RELEASE_TIMEOUT)
                                .then()
                                .onErrorResume(e -> Mono.empty()));
    }
}
