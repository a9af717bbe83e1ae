package org.fuchsiaford.peer;

import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/** Handles requests from other entry hosts. Implementations are thread-safe. */
@FunctionalInterface
public interface PeerRequestHandler {
    /** Returns the response; an error is sent to the caller as {@link PeerMessage.Failure}. */
    Mono<PeerMessage> handle(PeerMessage request);
}
