package org.fuchsiaford.placement;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.request.RequestId;

/**
 * What a policy decided on a request. Immutable.
 *
 * @param request the request
 * @param placed whether it is placed; otherwise it is refused
 * @param prefill the engine to prefill on, or null
 * @param decode the engine to decode on, or null
 * @param retryAfterMillis when a refused caller should come back, in milliseconds from now
 */
public record PlacementDecision(
        RequestId request,
        boolean placed,
        BackendServerId prefill,
        BackendServerId decode,
        long retryAfterMillis) {

    /** Returns a placement. */
    public static PlacementDecision place(
            RequestId request, BackendServerId prefill, BackendServerId decode) {
        return new PlacementDecision(request, true, prefill, decode, 0);
    }

    /** Returns a refusal. */
    public static PlacementDecision refuse(RequestId request, long retryAfterMillis) {
        return new PlacementDecision(request, false, null, null, retryAfterMillis);
    }
}
