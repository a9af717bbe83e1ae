package org.fuchsiaford.placement;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.request.RequestId;

/**
 * Tells a policy how a placed request goes on. Immutable.
 *
 * @param request the request
 * @param kind what happened
 * @param engine the engine at which it happened, or null if it does not matter
 * @param outputTokens the tokens generated so far
 */
public record PlacementEvent(
        RequestId request, Kind kind, BackendServerId engine, int outputTokens) {

    /** What may happen to a placed request. */
    public enum Kind {
        PREFILL_FINISHED,
        FIRST_TOKEN,
        /** Still running; keeps the placement from being forgotten. */
        RUNNING,
        FINISHED,
        /** The caller is gone; engines free the request's memory. */
        CANCELLED,
        /** The engine refused the request, being full or leaving. */
        ENGINE_REFUSED,
        /** The engine failed or could not be reached. */
        ENGINE_FAILED
    }

    /** Returns whether the request holds nothing any more after this event. */
    public boolean isFinal() {
        return switch (kind) {
            case FINISHED, CANCELLED, ENGINE_REFUSED, ENGINE_FAILED -> true;
            case PREFILL_FINISHED, FIRST_TOKEN, RUNNING -> false;
        };
    }
}
