package org.fuchsiaford.failure;

/** Why a request is refused; each reason has one HTTP status. Immutable. */
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
    HOST_NOT_SERVING(503),
    LIMIT_UNREACHABLE(503),
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

    /** Returns the machine-readable name used in problem documents. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
