package org.fuchsiaford.placement;

/**
 * A placed request and the engines that it occupies. It expires unless events renew it.
 *
 * <p>Not thread-safe.
 */
final class Placement {
    private final PlacementRequest mRequest;
    private final PrefillEngine mPrefill;
    private final DecodeEngine mDecode;
    private long mExpiryNanos;

    Placement(
            PlacementRequest request,
            PrefillEngine prefill,
            DecodeEngine decode,
            long expiryNanos) {
        mRequest = request;
        mPrefill = prefill;
        mDecode = decode;
        mExpiryNanos = expiryNanos;
    }

    PlacementRequest request() {
        return mRequest;
    }

    PrefillEngine prefill() {
        return mPrefill;
    }

    DecodeEngine decode() {
        return mDecode;
    }

    /** Renews the placement until the given time. */
    void renewUntil(long expiryNanos) {
        mExpiryNanos = expiryNanos;
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - mExpiryNanos >= 0;
    }

    /** Frees the engine capacity that the request occupies. */
    void release(long nowNanos) {
        mPrefill.remove(mRequest.request(), nowNanos);
        mDecode.release(mRequest.request());
    }
}
