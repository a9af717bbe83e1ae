package org.fuchsiaford.store.http;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;

/**
 * Closes the connection of an HTTP call that ends early. The client library reads the rest of a
 * response that nobody waits for any more, without limit, so a call has to do this by itself.
 *
 * <p>Thread-safe.
 */
public final class CallConnection {
    private final AtomicReference<Connection> mConnection = new AtomicReference<>();

    private CallConnection() {}

    /**
     * Makes a call on a connection that carries no other one, and closes it when the response ends
     * in any way.
     *
     * @param call makes the call with the client that it is given
     */
    public static <T> Mono<T> own(HttpClient client, Function<HttpClient, Mono<T>> call) {
        return Mono.defer(
                () -> {
                    CallConnection connection = new CallConnection();
                    return call.apply(connection.track(client))
                            .doFinally(signal -> connection.close());
                });
    }

    /** As {@link #own}, for a response of several parts. */
    public static <T> Flux<T> ownStream(HttpClient client, Function<HttpClient, Flux<T>> call) {
        return Flux.defer(
                () -> {
                    CallConnection connection = new CallConnection();
                    return call.apply(connection.track(client))
                            .doFinally(signal -> connection.close());
                });
    }

    /**
     * Makes a call on a connection of a pool, and closes it when the response fails or is
     * cancelled, so that it is not reused.
     *
     * @param call makes the call with the client that it is given
     */
    public static <T> Mono<T> pooled(HttpClient client, Function<HttpClient, Mono<T>> call) {
        return Mono.defer(
                () -> {
                    CallConnection connection = new CallConnection();
                    return call.apply(connection.track(client))
                            .doOnError(e -> connection.close())
                            .doOnCancel(connection::close);
                });
    }

    private HttpClient track(HttpClient client) {
        return client.doOnRequest((request, connection) -> mConnection.set(connection));
    }

    private void close() {
        Connection connection = mConnection.get();
        if (connection != null) {
            connection.channel().close();
        }
    }
}
