package org.fuchsiaford.entry.gateway.order;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import org.fuchsiaford.entry.gateway.protocol.EngineReport;
import org.fuchsiaford.entry.gateway.protocol.OrderProtocol;
import org.fuchsiaford.entry.gateway.protocol.UnreadableException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.StageOrder;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.store.http.BoundedBody;
import org.fuchsiaford.store.http.CallConnection;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** A client that reads the reports of engines and sends them stage orders. Thread-safe. */
final class OrderClient {
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int OK = 200;
    private static final int MAX_REPORT_BYTES = 1024 * 1024;

    private final OrderProtocol mProtocol;
    private final HostId mSelf;
    private final HttpClient mClient;

    OrderClient(OrderProtocol protocol, HostId self) {
        mProtocol = protocol;
        mSelf = self;
        mClient =
                HttpClient.create(ConnectionProvider.newConnection())
                        .disableRetry(true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TIMEOUT.toMillis());
    }

    /** Returns the report of an engine; fails if none is received within the timeout. */
    Mono<EngineReport> readReport(LiveServer engine) {
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

    /**
     * Sends an order and returns the HTTP status of the response. An order that received no
     * response may still be carried out.
     *
     * @param acceptedOrders the number of accepted orders that the engine last reported
     */
    Mono<Integer> sendOrder(StageOrder order, long fence, long acceptedOrders) {
        byte[] body = mProtocol.writeOrder(order, mSelf, fence, acceptedOrders);
        return CallConnection.own(
                mClient,
                client ->
                        client.headers(
                                        headers ->
                                                headers.set(mProtocol.orderHeaders(order))
                                                        .set(
                                                                HttpHeaderNames.CONTENT_LENGTH,
                                                                body.length))
                                .post()
                                .uri("http://" + order.engine().address() + mProtocol.orderPath())
                                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                                .response()
                                .map(response -> response.status().code())
                                .timeout(TIMEOUT));
    }
}
