package org.fuchsiaford.entry.service;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.IOException;
import java.time.Duration;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.entry.backend.BackendException;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.store.http.BoundedBody;
import org.fuchsiaford.store.http.CallConnection;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Calls plain services. Each call opens its own connection, so that the connection is known to work
 * when the request is sent, and the response cannot belong to another request. A call succeeds only
 * when the response has been received completely.
 *
 * <p>Thread-safe.
 */
public final class ServiceClient {
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final HttpClient mClient =
            HttpClient.create(ConnectionProvider.newConnection())
                    .disableRetry(true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());

    /**
     * Calls a service.
     *
     * @param beforeSending run when the connection is established, before the first byte is sent
     * @return the response; fails with {@link BackendException}
     */
    public Mono<ServiceResponse> call(
            BackendServer server, ServiceRequest request, Runnable beforeSending) {
        return CallConnection.own(
                mClient,
                client ->
                        send(client, server, request, beforeSending)
                                .timeout(Duration.ofMillis(request.route().timeoutMillis()))
                                .onErrorMap(e -> failed(server, e)));
    }

    private static Mono<ServiceResponse> send(
            HttpClient client,
            BackendServer server,
            ServiceRequest request,
            Runnable beforeSending) {
        return client.headers(headers -> headers.add(request.headers()))
                .doOnRequest((httpRequest, connection) -> beforeSending.run())
                .request(request.method())
                .uri(server.url() + request.uri())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(request.body())))
                .response(
                        (response, content) ->
                                requireFinal(response)
                                        .then(
                                                BoundedBody.join(
                                                        content.asByteArray(), MAX_RESPONSE_BYTES))
                                        .map(body -> serviceResponse(response, body)))
                .single();
    }

    /** The client library takes an interim response for the final one, whatever follows it. */
    private static Mono<Void> requireFinal(HttpClientResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                ? Mono.error(new IOException("the response is interim: " + response.status()))
                : Mono.empty();
    }

    private static ServiceResponse serviceResponse(HttpClientResponse response, byte[] body) {
        String contentType = response.responseHeaders().get("Content-Type");
        return new ServiceResponse(response.status().code(), contentType, body);
    }

    private static BackendException failed(BackendServer server, Throwable cause) {
        return new BackendException(
                Step.FORWARD,
                server.id(),
                BackendException.Kind.BROKEN,
                String.valueOf(cause.getMessage()),
                cause);
    }
}
