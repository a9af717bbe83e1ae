package org.fuchsiaford.entry.gateway.forward;

import java.util.concurrent.TimeUnit;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.routing.WorkspaceDeclaration;

/** What is known of a request for its last log line. Not thread-safe; one request's signals. */
final class RequestTrace {
    private static final long NEVER = -1;
    private static final String ANSWERED = "answered";
    private static final String CANCELLED = "cancelled";

    private final long mStartNanos;
    private String mRequest = "unread";
    private String mRoute;
    private String mWorkspace;
    private String mOutcome = CANCELLED;
    private String mReason;
    private int mStatus;
    private long mRetryAfterMillis;
    private long mTableVersion;
    private long mFirstByteNanos = NEVER;
    private RequestContext mContext;

    RequestTrace(long startNanos) {
        mStartNanos = startNanos;
    }

    long startNanos() {
        return mStartNanos;
    }

    void recordRequest(String request) {
        mRequest = request;
    }

    void recordRoute(RouteAdmission.AuthorizedRoute passage) {
        GatewayRoute route = passage.route();
        mRoute = route.name();
        mTableVersion = passage.table().version();
        mWorkspace =
                passage.workspace()
                        .map(WorkspaceDeclaration::id)
                        .map(id -> id.value())
                        .orElse(null);
    }

    void recordAdmission(RequestContext context) {
        mContext = context;
    }

    void recordHead(int status, long nowNanos) {
        mStatus = status;
        mFirstByteNanos = nowNanos;
        mOutcome = "broken-off";
    }

    void recordAnswered() {
        mOutcome = ANSWERED;
    }

    /** Notes that the caller has gone; sending ends like a success then. */
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

    boolean isHeadSent() {
        return mFirstByteNanos != NEVER;
    }

    /** Returns the time from the request to the first byte of its answer, in nanoseconds. */
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
                isHeadSent() ? TimeUnit.NANOSECONDS.toMillis(timeToFirstByteNanos()) : NEVER,
                mRetryAfterMillis,
                mTableVersion);
    }
}
