package org.fuchsiaford.peer;

import java.time.Duration;
import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/** Calls other entry hosts. Implementations are thread-safe. */
public interface PeerClient {
    /**
     * Sends a request and returns its answer.
     *
     * @param peer whom to ask
     * @param request what to ask
     * @param type the kind of answer
     * @param timeout the longest wait
     * @return the answer; fails with {@link PeerException} if none comes in time
     */
    <T extends PeerMessage> Mono<T> call(
            PeerAddress peer, PeerMessage request, Class<T> type, Duration timeout);
}
