package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiaford.request.RequestId;

/** The wire format of calls to backend servers. Implementations are thread-safe. */
public interface ServerProtocol {
    /** Returns all headers of a call except those for the connection and the body length. */
    HttpHeaders headers(ServerRequest request);

    /**
     * Decodes the head of a response.
     *
     * @param purpose what the request was sent for
     * @param expected the id of the request that was sent; the outcome of a response to any other
     *     request is unknown
     */
    ResponseHead readHead(
            ServerRequest.Purpose purpose, RequestId expected, int status, HttpHeaders headers);

    /**
     * Decodes the response to a prefill call.
     *
     * @return the engine's handle of the KV cache
     * @throws UnreadableException if the response contains no handle
     */
    String readKvHandle(byte[] body) throws UnreadableException;

    /** Returns the path at which a DELETE request frees KV cache that is not needed. */
    String releasePath(KvSource source);
}
