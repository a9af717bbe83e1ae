package org.fuchsiaford.placement;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.request.RequestId;

/**
 * The decision of a placement policy on a request. Immutable.
 *
 * @param request the ID of the request
 * @param placed true if the request is placed, false if it is refused
 * @param prefill the prefill engine, or null if refused
 * @param decode the decode engine, or null if refused
 * @param retryAfterMillis the delay after which a refused caller should retry, in milliseconds
 */
public record PlacementDecision(
        RequestId request,
        boolean placed,
        BackendServerId prefill,
        BackendServerId decode,
        long retryAfterMillis) {

    /** Creates a decision that places a request. */
    public static PlacementDecision place(
            RequestId request, BackendServerId prefill, BackendServerId decode) {
        return new PlacementDecision(request, true, prefill, decode, 0);
    }

    /** Creates a decision that refuses a request. */
    public static PlacementDecision refuse(RequestId request, long retryAfterMillis) {
        return new PlacementDecision(request, false, null, null, retryAfterMillis);
    }
}
