package org.fuchsiaford.entry.gateway.protocol;

import org.fuchsiaford.failure.RefusalException;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** How callers' requests and answers look on the wire. Implementations are thread-safe. */
public interface CallerProtocol {
    /**
     * Decodes a request.
     *
     * @param nowNanos when its head arrived
     * @throws RefusalException if it is malformed
     */
    CallerRequest read(HttpServerRequest request, long nowNanos) throws RefusalException;

    /** Sets status and headers of a refusal; it has no body. */
    void writeRefusal(HttpServerResponse response, RefusalException refusal);

    /** Sets status and headers of a backend server's answer. */
    void writeHead(HttpServerResponse response, ResponseHead head);
}
