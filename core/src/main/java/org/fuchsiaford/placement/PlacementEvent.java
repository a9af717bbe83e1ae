package org.fuchsiaford.placement;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.request.RequestId;

/**
 * A progress event of a placed request. Immutable.
 *
 * @param request the ID of the request
 * @param kind the type of the event
 * @param engine the engine that the event concerns, or null if it is irrelevant
 * @param outputTokens the number of tokens generated so far
 */
public record PlacementEvent(
        RequestId request, Kind kind, BackendServerId engine, int outputTokens) {

    /** The type of an event. */
    public enum Kind {
        PREFILL_FINISHED,
        FIRST_TOKEN,
        /** The request is still running; renews the placement. */
        RUNNING,
        FINISHED,
        /** The caller disconnected; the engines free the KV cache of the request. */
        CANCELLED,
        /** The engine refused the request because it is full or draining. */
        ENGINE_REFUSED,
        /** The engine failed or was unreachable. */
        ENGINE_FAILED
    }

    /** Returns whether the request occupies no engine capacity after this event. */
    public boolean isFinal() {
        return switch (kind) {
            case FINISHED, CANCELLED, ENGINE_REFUSED, ENGINE_FAILED -> true;
            case PREFILL_FINISHED, FIRST_TOKEN, RUNNING -> false;
        };
    }
}
