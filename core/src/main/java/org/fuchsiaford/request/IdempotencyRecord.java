package org.fuchsiaford.request;

import org.fuchsiaford.bundle.Digest;

/**
 * The store's record of a request with an {@code Idempotency-Key}.
 *
 * <p>Invariant: it is created before the request is sent and only by the host that sends it; once
 * answered it never changes. Immutable.
 *
 * @param claim unique to the attempt that created the record, to recognise one's own swap after a
 *     lost reply
 * @param request the digest of route, method and body, to refuse another request with the same key
 * @param state how far the request is
 * @param status the HTTP status of the answer; zero until answered
 * @param contentType the content type of the answer, or null
 * @param body the answer in base 64, or null
 */
public record IdempotencyRecord(
        String claim, Digest request, State state, int status, String contentType, String body) {

    /** How far a request is. */
    public enum State {
        /** A host may have sent it. */
        CLAIMED,
        /** Given up before it was sent; the next claim may take the record over. */
        NOT_RUN,
        /** Answered; the answer is repeated to whoever asks again. */
        ANSWERED
    }

    /** Returns a record that claims a request. */
    public static IdempotencyRecord claimed(String claim, Digest request) {
        return new IdempotencyRecord(claim, request, State.CLAIMED, 0, null, null);
    }

    /** Returns this record, given up before sending. */
    public IdempotencyRecord notRun() {
        return new IdempotencyRecord(claim, request, State.NOT_RUN, 0, null, null);
    }

    /** Returns this record with the answer. */
    public IdempotencyRecord answered(int answerStatus, String type, String encodedBody) {
        return new IdempotencyRecord(
                claim, request, State.ANSWERED, answerStatus, type, encodedBody);
    }
}
