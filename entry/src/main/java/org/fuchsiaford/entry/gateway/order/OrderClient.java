package org.fuchsiaford.entry.gateway.order;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import org.fuchsiaford.entry.gateway.protocol.OrderProtocol;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.StageOrder;
import org.fuchsiaford.store.http.CallConnection;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** A client that sends stage orders to engines. Thread-safe. */
final class OrderClient {
    private static final Duration TIMEOUT = Duration.ofMillis(500);

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
