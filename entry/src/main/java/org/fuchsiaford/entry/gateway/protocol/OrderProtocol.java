package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.StageOrder;

/** The wire format of engine reports and stage orders. Implementations are thread-safe. */
public interface OrderProtocol {
    /** Returns the path that serves an engine's report. */
    String reportPath();

    /**
     * Decodes a report.
     *
     * @throws UnreadableException if it is malformed or lacks a field that an order depends on
     */
    EngineReport readReport(byte[] body) throws UnreadableException;

    /** Returns the path that accepts orders. */
    String orderPath();

    /** Returns the headers of an order; they make every other run of the server reject it. */
    HttpHeaders orderHeaders(StageOrder order);

    /**
     * Encodes an order.
     *
     * @param holder the host that holds the order lease
     * @param fence the holder's fencing token
     * @param acceptedOrders the number of accepted orders that the engine reported; the order is
     *     valid only while it is unchanged
     */
    byte[] writeOrder(StageOrder order, HostId holder, long fence, long acceptedOrders);
}
