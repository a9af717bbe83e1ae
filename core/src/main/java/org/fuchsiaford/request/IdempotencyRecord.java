package org.fuchsiaford.request;

import org.fuchsiaford.bundle.Digest;

/**
 * The stored record of a request with an {@code Idempotency-Key}.
 *
 * <p>Invariant: the record is created before the request is sent, and only by the host that sends
 * it; once answered, it never changes. Immutable.
 *
 * @param claim a value unique to the attempt that created the record, by which a host recognises
 *     its own compare-and-swap after the reply was lost
 * @param request the digest of route, method and body, used to reject a different request with the
 *     same key
 * @param state the state of the request
 * @param status the HTTP status of the response; zero until answered
 * @param contentType the content type of the response, or null
 * @param body the response body in Base64, or null
 */
public record IdempotencyRecord(
        String claim, Digest request, State state, int status, String contentType, String body) {

    /** The state of a request with an idempotency key. */
    public enum State {
        /** A host has claimed the request and may have sent it. */
        CLAIMED,
        /** The request was abandoned before it was sent; another claim may take over the record. */
        NOT_RUN,
        /** The request was answered; retries receive the stored response. */
        ANSWERED
    }

    /** Creates a record that claims a request. */
    public static IdempotencyRecord claimed(String claim, Digest request) {
        return new IdempotencyRecord(claim, request, State.CLAIMED, 0, null, null);
    }

    /** Returns a copy of this record for a request that was abandoned before it was sent. */
    public IdempotencyRecord notRun() {
        return new IdempotencyRecord(claim, request, State.NOT_RUN, 0, null, null);
    }

    /** Returns a copy of this record with the response. */
    public IdempotencyRecord answered(int answerStatus, String type, String encodedBody) {
        return new IdempotencyRecord(
                claim, request, State.ANSWERED, answerStatus, type, encodedBody);
    }
}
