package org.fuchsiaford.placement;

/**
 * A placed request and the engines that it holds.
 *
 * <p>Not thread-safe.
 */
final class Placement {
    private final PlacementRequest mRequest;
    private final PrefillEngine mPrefill;
    private final DecodeEngine mDecode;
    private long mForgetNanos;

    Placement(
            PlacementRequest request,
            PrefillEngine prefill,
            DecodeEngine decode,
            long forgetNanos) {
        mRequest = request;
        mPrefill = prefill;
        mDecode = decode;
        mForgetNanos = forgetNanos;
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

    /** Puts off the time at which the placement is forgotten for want of a sign of life. */
    void keepUntil(long forgetNanos) {
        mForgetNanos = forgetNanos;
    }

    boolean isForgotten(long nowNanos) {
        return nowNanos - mForgetNanos >= 0;
    }

    void release(long nowNanos) {
        mPrefill.remove(mRequest.request(), nowNanos);
        mDecode.release(mRequest.request());
    }
}
