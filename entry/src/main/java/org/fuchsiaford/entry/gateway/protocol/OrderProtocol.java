package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.order.StageOrder;

/** How engines report and take orders. Implementations are thread-safe. */
public interface OrderProtocol {
    /** Returns the path of an engine's report. */
    String reportPath();

    /**
     * Reads a report.
     *
     * @throws UnreadableException if it lacks what an order needs
     */
    EngineReport readReport(byte[] body) throws UnreadableException;

    /** Returns the path that takes orders. */
    String orderPath();

    /** Returns the headers of an order; no other run of a server takes it. */
    HttpHeaders orderHeaders(StageOrder order);

    /**
     * Writes an order.
     *
     * @param holder who gives it
     * @param fence the holder's fencing token
     * @param acceptedOrders the number of accepted orders on which it depends
     */
    byte[] writeOrder(StageOrder order, HostId holder, long fence, long acceptedOrders);
}
