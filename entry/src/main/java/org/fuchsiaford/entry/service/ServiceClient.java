package org.fuchsiaford.entry.service;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.entry.backend.BackendException;
import org.fuchsiaford.failure.Step;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Calls plain services. Each call opens a connection of its own, so the connection has just proved
 * alive when the request goes out, and an answer cannot belong to another request. An answer counts
 * only when it is there in full.
 *
 * <p>Thread-safe.
 */
public final class ServiceClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final HttpClient mClient =
            HttpClient.create(ConnectionProvider.newConnection())
                    .disableRetry(true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());

    /**
     * Calls a service.
     *
     * @param beforeSending run once the connection stands and before the first byte goes out
     * @return the answer; fails with {@link BackendException}
     */
    public Mono<ServiceResponse> call(
            BackendServer server, ServiceRequest call, Runnable beforeSending) {
        return mClient.headers(headers -> headers.add(call.headers()))
                .doOnRequest((request, connection) -> beforeSending.run())
                .request(call.method())
                .uri(server.url() + call.uri())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(call.body())))
                .responseSingle(
                        (response, content) ->
                                content.asByteArray()
                                        .defaultIfEmpty(new byte[0])
                                        .map(body -> answer(response, body)))
                .timeout(Duration.ofMillis(call.route().timeoutMillis()))
                .onErrorMap(e -> failed(server, e));
    }

    private static ServiceResponse answer(HttpClientResponse response, byte[] body) {
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
