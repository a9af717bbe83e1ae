package org.fuchsiaford.entry.gateway.protocol;

import org.fuchsiaford.failure.RefusalException;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The wire format of callers' requests and responses. Implementations are thread-safe. */
public interface CallerProtocol {
    /**
     * Decodes a request.
     *
     * @param nowNanos when the request head arrived, on the monotonic clock
     * @throws RefusalException if the request is malformed
     */
    CallerRequest read(HttpServerRequest request, long nowNanos) throws RefusalException;

    /** Sets status and headers of a refusal, which has no body. */
    void writeRefusal(HttpServerResponse response, RefusalException refusal);

    /** Sets status and headers of a backend server's response. */
    void writeHead(HttpServerResponse response, ResponseHead head);
}
