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

    void read(String request) {
        mRequest = request;
    }

    void passed(RouteAdmission.AuthorizedRoute passage) {
        GatewayRoute route = passage.route();
        mRoute = route.name();
        mTableVersion = passage.table().version();
        mWorkspace =
                passage.workspace()
                        .map(WorkspaceDeclaration::id)
                        .map(id -> id.value())
                        .orElse(null);
    }

    void admitted(RequestContext context) {
        mContext = context;
    }

    void head(int status, long nowNanos) {
        mStatus = status;
        mFirstByteNanos = nowNanos;
        mOutcome = "broken-off";
    }

    void answered() {
        mOutcome = ANSWERED;
    }

    /** Notes that the caller has gone; sending ends like a success then. */
    void cancelled() {
        if (!mOutcome.equals(ANSWERED)) {
            mOutcome = CANCELLED;
        }
    }

    void refused(RefusalException refusal) {
        mOutcome = refusal.runState().wireName();
        mStatus = refusal.reason().status();
        mReason = refusal.getMessage();
        mRetryAfterMillis = refusal.retryAfterMillis();
    }

    void failed(Throwable cause) {
        mReason = String.valueOf(cause);
    }

    boolean isHeadSent() {
        return mFirstByteNanos != NEVER;
    }

    /** Returns the time from the request to the first byte of its answer, in nanoseconds. */
    long firstByteNanos() {
        return mFirstByteNanos - mStartNanos;
    }

    Decision.Ended end(long nowNanos) {
        return new Decision.Ended(
                mRequest,
                mRoute,
                mWorkspace,
                mOutcome,
                mStatus,
                mReason,
                mContext == null ? 0 : mContext.sends(),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - mStartNanos),
                isHeadSent() ? TimeUnit.NANOSECONDS.toMillis(firstByteNanos()) : NEVER,
                mRetryAfterMillis,
                mTableVersion);
    }
}
