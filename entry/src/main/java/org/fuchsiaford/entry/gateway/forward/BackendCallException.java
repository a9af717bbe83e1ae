package org.fuchsiaford.entry.gateway.forward;

import java.util.List;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;

/** Thrown when a call to a backend server yields no complete response to forward. Immutable. */
final class BackendCallException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final AttemptOutcome mOutcome;
    private final boolean mBrokenOff;
    private final boolean mCalled;
    private final transient List<ResponsePart> mResponseParts;

    BackendCallException(Step step, RemoteName server, AttemptOutcome outcome, String message) {
        this(step, server, outcome, message, false, List.of(), true);
    }

    /** Returns an exception for a server that broke a call off that it had received. */
    static BackendCallException brokenOff(Step step, RemoteName server, String message) {
        return new BackendCallException(
                step, server, AttemptOutcome.UNKNOWN, message, true, List.of(), true);
    }

    /** Returns an exception for a server that was not called. */
    static BackendCallException notCalled(Step step, RemoteName server, String message) {
        return new BackendCallException(
                step, server, AttemptOutcome.NOT_SENT, message, false, List.of(), false);
    }

    /** Creates an exception for an error response of the server. */
    BackendCallException(
            Step step,
            RemoteName server,
            AttemptOutcome outcome,
            String message,
            List<ResponsePart> responseParts) {
        this(step, server, outcome, message, false, responseParts, true);
    }

    private BackendCallException(
            Step step,
            RemoteName server,
            AttemptOutcome outcome,
            String message,
            boolean brokenOff,
            List<ResponsePart> responseParts,
            boolean called) {
        super(step, server, message);
        mOutcome = outcome;
        mBrokenOff = brokenOff;
        mCalled = called;
        mResponseParts = List.copyOf(responseParts);
    }

    /** Returns the error response of the server; empty if there was none. */
    List<ResponsePart> responseParts() {
        return mResponseParts;
    }

    /**
     * Returns whether the connection or the response ended too early, as after a crash, rather than
     * by a timeout or a complete response of another status.
     */
    boolean isBrokenOff() {
        return mBrokenOff;
    }

    /** Returns whether the server was called, so that the failure says something of it. */
    boolean isCalled() {
        return mCalled;
    }

    /** Returns the outcome of the attempt, as far as the failure proves it. */
    AttemptOutcome outcome() {
        return mOutcome;
    }
}
