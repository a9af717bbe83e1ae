package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.protocol.ResponseHead;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.routing.WorkspaceDeclaration;

/**
 * Collects what the final decision log entry of a request reports, and decides whose response is
 * sent if a server answers while this host ends its requests.
 *
 * <p>Invariant: only one of the two claims the response. Not thread-safe but for the claims; the
 * other signals of one request arrive sequentially.
 */
final class RequestTrace {
    private static final long NO_FIRST_BYTE = -1;
    private static final String ANSWERED = "answered";
    private static final String CANCELLED = "cancelled";

    /** Whose response the caller gets. */
    private enum Responder {
        NONE,
        SERVER,
        HOST
    }

    private final long mStartNanos;
    private String mRequest = "unread";
    private String mRoute;
    private String mWorkspace;
    private String mOutcome = CANCELLED;
    private String mReason;
    private int mStatus;
    private String mFraming;
    private long mRetryAfterMillis;
    private long mTableVersion;
    private long mFirstByteNanos = NO_FIRST_BYTE;
    private Long mAfterStopMillis;
    private volatile RequestContext mContext;
    private final AtomicReference<Responder> mResponder = new AtomicReference<>(Responder.NONE);

    RequestTrace(long startNanos) {
        mStartNanos = startNanos;
    }

    long startNanos() {
        return mStartNanos;
    }

    /** Records that the request arrived after this host was told to stop. */
    void recordStopping(long stopNanos) {
        mAfterStopMillis = TimeUnit.NANOSECONDS.toMillis(mStartNanos - stopNanos);
    }

    void recordRequest(String request) {
        mRequest = request;
    }

    void recordRoute(RouteAdmission.AuthorizedRoute authorized) {
        GatewayRoute route = authorized.route();
        mRoute = route.name();
        mTableVersion = authorized.table().version();
        mWorkspace =
                authorized
                        .workspace()
                        .map(WorkspaceDeclaration::id)
                        .map(id -> id.value())
                        .orElse(null);
    }

    void recordAdmission(RequestContext context) {
        mContext = context;
    }

    /** Records that the head was sent. The response counts as broken off until it is complete. */
    void recordHead(ResponseHead head, long nowNanos) {
        mStatus = head.status();
        mFraming = head.framing().name();
        mFirstByteNanos = nowNanos;
        mOutcome = "broken-off";
    }

    void recordAnswered() {
        mOutcome = ANSWERED;
    }

    /**
     * Records that the caller has disconnected, unless the response was complete; sending completes
     * normally in both cases.
     */
    void recordCancelled() {
        if (!mOutcome.equals(ANSWERED)) {
            mOutcome = CANCELLED;
        }
    }

    void recordRefusal(RefusalException refusal) {
        mOutcome = refusal.runState().wireName();
        mStatus = refusal.reason().status();
        mReason = refusal.getMessage();
        mRetryAfterMillis = refusal.retryAfterMillis();
    }

    void recordFailure(Throwable cause) {
        mReason = String.valueOf(cause);
    }

    /** Prevents all attempts; returns false, without effect, if one may have run. */
    boolean closeIfNotRun() {
        RequestContext context = mContext;
        return context == null || context.attempts().closeIfNotRun();
    }

    /** Claims the response for what a server sends. Returns false if the host has claimed it. */
    boolean claimForServer() {
        return mResponder.compareAndSet(Responder.NONE, Responder.SERVER);
    }

    /** Claims the response for the host itself. Returns false if a server's response began. */
    boolean claimForHost() {
        return mResponder.compareAndSet(Responder.NONE, Responder.HOST)
                || mResponder.get() == Responder.HOST;
    }

    boolean isStream() {
        return mContext != null && mContext.route().kind().isStream();
    }

    boolean isHeadSent() {
        return mFirstByteNanos != NO_FIRST_BYTE;
    }

    /** Returns the time from the request to the first byte of its response, in nanoseconds. */
    long timeToFirstByteNanos() {
        return mFirstByteNanos - mStartNanos;
    }

    Decision.Ended endedEvent(long nowNanos) {
        return new Decision.Ended(
                mRequest,
                mRoute,
                mWorkspace,
                mOutcome,
                mStatus,
                mReason,
                mContext == null ? 0 : mContext.sendCount(),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - mStartNanos),
                isHeadSent()
                        ? TimeUnit.NANOSECONDS.toMillis(timeToFirstByteNanos())
                        : NO_FIRST_BYTE,
                mRetryAfterMillis,
                mTableVersion,
                mFraming,
                endsInsideEvent() ? true : null,
                mAfterStopMillis,
                longestGap().map(gap -> toMillis(gap.lengthNanos())).orElse(null),
                longestGap().map(gap -> toMillis(gap.endNanos() - mStartNanos)).orElse(null));
    }

    private Optional<StreamGaps.Gap> longestGap() {
        return Optional.ofNullable(mContext).flatMap(RequestContext::longestGap);
    }

    private static long toMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private boolean endsInsideEvent() {
        return mContext != null && mContext.streamProgress().isInsideEvent();
    }
}
