package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiaford.request.RequestId;

/** How backend servers are called and answer. Implementations are thread-safe. */
public interface ServerProtocol {
    /** Returns all headers of a call but those of the connection and the body's length. */
    HttpHeaders headers(ServerRequest request);

    /**
     * Reads the head of an answer.
     *
     * @param expected the request that was sent; an answer to another one proves nothing
     */
    ResponseHead readHead(RequestId expected, int status, HttpHeaders headers);

    /**
     * Reads the answer to a call that only had the prompt read.
     *
     * @return the engine's name of the KV cache
     * @throws UnreadableException if there is none in it
     */
    String readKvHandle(byte[] body) throws UnreadableException;

    /** Returns the path at which KV cache that is not needed is freed by a DELETE. */
    String releasePath(KvSource source);
}
