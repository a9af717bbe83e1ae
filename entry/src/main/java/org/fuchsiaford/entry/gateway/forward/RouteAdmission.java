package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.quota.FleetQuota;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.routing.RequestLimits;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.routing.TokenQuota;
import org.fuchsiaford.routing.WorkspaceDeclaration;
import org.fuchsiaford.time.Ticker;

/**
 * Decides by the declaration in force which requests may pass, and holds workspaces to their
 * limits.
 *
 * <p>Invariant: a host that knows no declaration refuses with a promise that nothing ran; only a
 * known declaration says that a route or key does not exist. Thread-safe.
 */
public final class RouteAdmission {
    /** A host without a declaration reads one within this time once it reaches store or peer. */
    private static final long NOT_READY_RETRY_MILLIS = 150;

    private final GatewayState mState;
    private final FleetQuota mQuota;
    private final Runnable mLimitNear;
    private final Ticker mTicker;

    /** Who may use which route by the declaration in force. */
    record AuthorizedRoute(
            RoutingTable table, GatewayRoute route, Optional<WorkspaceDeclaration> workspace) {}

    /**
     * Creates a gate.
     *
     * @param limitNear told when other hosts must learn soon of what was admitted; must not wait
     */
    public RouteAdmission(GatewayState state, FleetQuota quota, Runnable limitNear, Ticker ticker) {
        mState = state;
        mQuota = quota;
        mLimitNear = limitNear;
        mTicker = ticker;
    }

    /** Returns how long the head of a request may take, in milliseconds. */
    long headerTimeoutMillis() {
        return mState.table()
                .map(RoutingTable::limits)
                .orElse(RequestLimits.DEFAULT)
                .headerTimeoutMillis();
    }

    /**
     * Finds route and workspace of a request.
     *
     * @throws RefusalException if there is no such route or the key does not open it
     */
    AuthorizedRoute authorize(CallerRequest request) throws RefusalException {
        RoutingTable table =
                mState.table()
                        .orElseThrow(
                                () ->
                                        RefusalException.notRunRetry(
                                                RefusalReason.HOST_NOT_SERVING,
                                                NOT_READY_RETRY_MILLIS,
                                                Step.ADMIT,
                                                "no declaration is known yet"));
        GatewayRoute route =
                table.route(request.virtualHost(), request.path())
                        .orElseThrow(
                                () ->
                                        RefusalException.notRun(
                                                RefusalReason.NOT_FOUND,
                                                Step.ADMIT,
                                                "no route for this host and path"));
        return new AuthorizedRoute(table, route, workspace(table, route, request));
    }

    private static Optional<WorkspaceDeclaration> workspace(
            RoutingTable table, GatewayRoute route, CallerRequest request) throws RefusalException {
        if (route.publicAccess() || !table.hasWorkspaces()) {
            return Optional.empty();
        }
        Optional<WorkspaceDeclaration> workspace = request.key().flatMap(table::workspaceOfKey);
        if (workspace.isEmpty()) {
            throw RefusalException.notRun(
                    RefusalReason.UNAUTHENTICATED, Step.AUTHENTICATE, "no workspace has this key");
        }
        return workspace;
    }

    /**
     * Checks once more, right before a send, that the request may still run where it was headed.
     *
     * @throws RefusalException if the declaration has changed meanwhile
     */
    void reauthorize(RequestContext context) throws RefusalException {
        AuthorizedRoute now = authorize(context.caller());
        boolean sameService =
                now.route().services().stream()
                        .anyMatch(service -> service.service().equals(context.service()));
        boolean sameWorkspace =
                now.workspace().map(WorkspaceDeclaration::id).equals(context.workspaceId());
        if (!sameService || !sameWorkspace) {
            throw RefusalException.notRunRetry(
                    RefusalReason.BUSY,
                    NOT_READY_RETRY_MILLIS,
                    Step.ADMIT,
                    "the route has changed meanwhile");
        }
    }

    /**
     * Takes what a request costs from its workspace's limit.
     *
     * @return the tokens taken; zero without a limit
     * @throws RefusalException if the limit is used up
     */
    long chargeQuota(CallerRequest request, WorkspaceDeclaration workspace)
            throws RefusalException {
        TokenQuota quota = workspace.quota();
        if (!quota.isLimited()) {
            return 0;
        }
        long cost =
                request.tokens().map(TokenCounts::totalTokens).orElse(quota.defaultRequestTokens());
        long waitNanos = mQuota.admit(workspace.id(), quota, cost, mTicker.nowNanos());
        if (mQuota.pollNearLimit()) {
            mLimitNear.run();
        }
        if (waitNanos > 0) {
            throw RefusalException.notRunRetry(
                    RefusalReason.OVER_LIMIT,
                    Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitNanos)),
                    Step.ADMIT,
                    "the workspace is over its limit: "
                            + cost
                            + " tokens asked, "
                            + mQuota.describe(workspace.id()));
        }
        return cost;
    }

    /** Gives back what a request that did not run was charged. */
    void refundQuota(WorkspaceDeclaration workspace, long tokens) {
        mQuota.refund(workspace.id(), tokens);
    }
}
