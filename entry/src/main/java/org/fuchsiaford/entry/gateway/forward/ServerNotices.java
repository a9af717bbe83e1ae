package org.fuchsiaford.entry.gateway.forward;

import java.util.List;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.metrics.ServiceMetrics;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerBackoff;
import org.fuchsiaford.registry.ServerNotice;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.time.Ticker;

/**
 * Acts on what backend servers say of themselves in their responses.
 *
 * <p>Invariant: a notice is in force before the response that contains it is passed on.
 * Thread-safe.
 */
public final class ServerNotices {
    private static final String LEAVING = "leaving";
    private static final String RETRY_AFTER = "retry-after";
    private static final String LIMIT = "limit";

    private final GatewayState mState;
    private final ServerBackoff mBackoff;
    private final ServerLimits mLimits;
    private final Runnable mOnLimited;
    private final ServiceMetrics mMetrics;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /**
     * Creates the notices of one host.
     *
     * @param onLimited called when a server begins to name a limit; must not block
     */
    public ServerNotices(
            GatewayState state,
            ServerBackoff backoff,
            ServerLimits limits,
            Runnable onLimited,
            ServiceMetrics metrics,
            DecisionLog log,
            Ticker ticker) {
        mState = state;
        mBackoff = backoff;
        mLimits = limits;
        mOnLimited = onLimited;
        mMetrics = metrics;
        mLog = log;
        mTicker = ticker;
    }

    /**
     * Records the notice in a response.
     *
     * @param request the request that was answered
     */
    void record(LiveServer server, ServerNotice notice, RequestId request) {
        if (notice.leaving()) {
            mMetrics.countNotice(server.service(), LEAVING);
            mState.markLeaving(List.of(server.run()), request.value());
        }
        if (notice.retryAfterMillis() > 0) {
            mMetrics.countNotice(server.service(), RETRY_AFTER);
            mBackoff.start(server, notice.retryAfterMillis(), mTicker.nowNanos());
            mLog.write(
                    new Decision.ServerNoticed(
                            server.id().value(),
                            RETRY_AFTER,
                            request.value(),
                            notice.retryAfterMillis(),
                            null));
        }
        notice.requestsPerSecond().ifPresent(limit -> recordLimit(server, limit, request));
    }

    private void recordLimit(LiveServer server, double requestsPerSecond, RequestId request) {
        boolean wasLimited = mLimits.isLimited(server.run());
        if (mLimits.record(server.run(), requestsPerSecond, mTicker.nowNanos())) {
            mMetrics.countNotice(server.service(), LIMIT);
            mLog.write(
                    Decision.ServerNoticed.limit(
                            server.id().value(), request.value(), requestsPerSecond));
            if (!wasLimited) {
                mOnLimited.run();
            }
        }
    }
}
