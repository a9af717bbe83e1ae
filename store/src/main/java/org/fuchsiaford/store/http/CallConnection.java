package org.fuchsiaford.store.http;

import java.util.concurrent.atomic.AtomicReference;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;

/**
 * The connection of one HTTP call. The client library reads the rest of a response that nobody
 * waits for any more, without limit, so a call that ends early has to close its connection.
 *
 * <p>Thread-safe.
 */
public final class CallConnection {
    private final AtomicReference<Connection> mConnection = new AtomicReference<>();

    /** Returns a client for the call. */
    public HttpClient track(HttpClient client) {
        return client.doOnRequest((request, connection) -> mConnection.set(connection));
    }

    /** Closes the connection when the response fails or is cancelled, so that it is not reused. */
    public <T> Mono<T> closeOnFailure(Mono<T> response) {
        return response.doOnError(e -> close()).doOnCancel(this::close);
    }

    /** Closes the connection, which carries no other call, when the response ends in any way. */
    public <T> Mono<T> closeAtEnd(Mono<T> response) {
        return response.doFinally(signal -> close());
    }

    /** Closes the connection, which carries no other call, when the response ends in any way. */
    public <T> Flux<T> closeAtEnd(Flux<T> response) {
        return response.doFinally(signal -> close());
    }

    private void close() {
        Connection connection = mConnection.get();
        if (connection != null) {
            connection.channel().close();
        }
    }
}
