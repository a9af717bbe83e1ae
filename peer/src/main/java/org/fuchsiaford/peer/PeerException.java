package org.fuchsiaford.peer;

import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** Thrown if another entry host does not respond or reports a failure. Immutable. */
public final class PeerException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; the cause may be null. */
    public PeerException(PeerAddress peer, String message, Throwable cause) {
        super(Step.CALL_PEER, new RemoteName(peer.toString()), message, cause);
    }
}
