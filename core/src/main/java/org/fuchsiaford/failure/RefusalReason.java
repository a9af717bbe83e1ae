package org.fuchsiaford.failure;

import java.util.Locale;

/** The reason why a request is refused; determines the HTTP status. Immutable. */
public enum RefusalReason {
    MALFORMED(400),
    UNAUTHENTICATED(401),
    FORBIDDEN(403),
    NOT_FOUND(404),
    METHOD_NOT_ALLOWED(405),
    CALLER_TOO_SLOW(408),
    DUPLICATE(409),
    TOO_LARGE(413),
    IDEMPOTENCY_MISMATCH(422),
    OVER_LIMIT(429),
    HEADERS_TOO_LARGE(431),
    BACKEND_FAILED(502),
    BUSY(503),
    HOST_FULL(503),
    HOST_NOT_SERVING(503),
    LIMIT_UNREACHABLE(503),
    NOT_RESUMABLE(503),
    STORE_UNAVAILABLE(503),
    BACKEND_TIMEOUT(504);

    private final int mStatus;

    RefusalReason(int status) {
        mStatus = status;
    }

    /** Returns the HTTP status code. */
    public int status() {
        return mStatus;
    }

    /** Returns the title of problem documents: the constant in lower case with dashes. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
