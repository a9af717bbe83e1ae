package org.fuchsiaford.entry.gateway.engine;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import org.fuchsiaford.entry.gateway.protocol.EngineReport;
import org.fuchsiaford.entry.gateway.protocol.OrderProtocol;
import org.fuchsiaford.entry.gateway.protocol.UnreadableException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.store.http.BoundedBody;
import org.fuchsiaford.store.http.CallConnection;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Reads what engines report of themselves. Thread-safe. */
public final class EngineReportClient {
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int OK = 200;
    private static final int MAX_REPORT_BYTES = 1024 * 1024;

    private final OrderProtocol mProtocol;
    private final HttpClient mClient;

    /** Creates a client. */
    public EngineReportClient(OrderProtocol protocol) {
        mProtocol = protocol;
        mClient =
                HttpClient.create(ConnectionProvider.newConnection())
                        .disableRetry(true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TIMEOUT.toMillis());
    }

    /** Returns the report of an engine; fails if none is received within the timeout. */
    public Mono<EngineReport> read(LiveServer engine) {
        return CallConnection.own(
                mClient,
                client ->
                        client.get()
                                .uri("http://" + engine.address() + mProtocol.reportPath())
                                .response((head, body) -> readBody(engine, head, body))
                                .single()
                                .flatMap(
                                        bytes ->
                                                Mono.fromCallable(
                                                        () -> mProtocol.readReport(bytes)))
                                .timeout(TIMEOUT));
    }

    private static Mono<byte[]> readBody(
            LiveServer engine, HttpClientResponse head, ByteBufFlux body) {
        int status = head.status().code();
        return status == OK
                ? BoundedBody.join(body.asByteArray(), MAX_REPORT_BYTES)
                : Mono.error(unexpectedStatus(engine, status));
    }

    private static UnreadableException unexpectedStatus(LiveServer engine, int status) {
        return new UnreadableException(
                Step.ORDER_ENGINE,
                new RemoteName(engine.id().value()),
                "unexpected status " + status);
    }
}
