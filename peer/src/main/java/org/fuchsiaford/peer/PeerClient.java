package org.fuchsiaford.peer;

import java.time.Duration;
import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/** Sends requests to other entry hosts. Implementations are thread-safe. */
public interface PeerClient {
    /**
     * Sends a request and returns its response.
     *
     * @param peer the address of the host to call
     * @param request the request
     * @param type the expected type of the response
     * @param timeout the time to wait for the response
     * @return the response; fails with {@link PeerException} if none arrives in time, if it has
     *     another type or if the host reports a failure
     */
    <T extends PeerMessage> Mono<T> call(
            PeerAddress peer, PeerMessage request, Class<T> type, Duration timeout);
}
