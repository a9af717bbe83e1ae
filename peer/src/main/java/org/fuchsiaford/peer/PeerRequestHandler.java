package org.fuchsiaford.peer;

import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/** Carries out the requests of other entry hosts. Implementations are thread-safe. */
@FunctionalInterface
public interface PeerRequestHandler {
    /** Returns the answer to a request; an error is answered as a failure. */
    Mono<PeerMessage> handle(PeerMessage request);
}
