package org.fuchsiaford.entry.gateway.forward;

import java.util.List;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** A call to a backend server that brought no whole answer. Immutable. */
final class BackendCallException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final AttemptOutcome mOutcome;
    private final transient List<ResponsePart> mParts;

    BackendCallException(Step step, RemoteName server, AttemptOutcome outcome, String message) {
        this(step, server, outcome, message, List.of());
    }

    /** Creates a failure that the server itself answered with. */
    BackendCallException(
            Step step,
            RemoteName server,
            AttemptOutcome outcome,
            String message,
            List<ResponsePart> parts) {
        super(step, server, message);
        mOutcome = outcome;
        mParts = List.copyOf(parts);
    }

    /** Returns the server's own answer, if there was one. */
    List<ResponsePart> responseParts() {
        return mParts;
    }

    /** Returns what the failure proves of the attempt. */
    AttemptOutcome outcome() {
        return mOutcome;
    }
}
