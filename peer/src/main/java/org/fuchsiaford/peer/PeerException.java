package org.fuchsiaford.peer;

import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** Another entry host did not answer, or answered that it failed. Immutable. */
public final class PeerException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    /** Creates an error. */
    public PeerException(PeerAddress peer, String message, Throwable cause) {
        super(Step.CALL_PEER, new RemoteName(peer.toString()), message, cause);
    }
}
