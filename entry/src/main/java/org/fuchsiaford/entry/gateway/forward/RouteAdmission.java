package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.entry.gateway.fleet.LimitCharging;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.registry.AllowedRegions;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.routing.RequestLimits;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.routing.TokenQuota;
import org.fuchsiaford.routing.WorkspaceDeclaration;
import reactor.core.publisher.Mono;

/**
 * Finds the route of a request, authenticates its workspace and enforces the workspace's token
 * limit, according to the routing table in force.
 *
 * <p>A request that is bound to regions without a server is refused before its body arrives.
 *
 * <p>Invariant: a host without a routing table refuses requests as not run and retryable. It
 * reports a route or key as unknown only if its routing table does not contain it. Thread-safe.
 */
public final class RouteAdmission {
    /**
     * Retry delay for callers while this host has no routing table, or after its routing table has
     * changed. A host reads a routing table within this time once it reaches the store or a peer.
     */
    private static final long ROUTING_TABLE_RETRY_MILLIS = 150;

    /**
     * Retry delay for callers whose requests no region with a server may serve. A server that
     * starts there is registered within about this time.
     */
    private static final long NO_REGION_RETRY_MILLIS = 1_000;

    private final GatewayState mState;
    private final LimitCharging mCharging;
    private final HostShutdown mShutdown;

    /**
     * The route of an authorized request.
     *
     * @param table the routing table that the decision is based on
     * @param route the route
     * @param workspace the authenticated workspace; empty for public access
     */
    record AuthorizedRoute(
            RoutingTable table, GatewayRoute route, Optional<WorkspaceDeclaration> workspace) {}

    /** Creates an admission. */
    public RouteAdmission(GatewayState state, LimitCharging charging, HostShutdown shutdown) {
        mState = state;
        mCharging = charging;
        mShutdown = shutdown;
    }

    /** Returns the timeout for the head of a request, in milliseconds. */
    long headerTimeoutMillis() {
        return limits().headerTimeoutMillis();
    }

    /** Returns the maximum size of the body of a request, in bytes. */
    int maxBodyBytes() {
        return limits().maxBodyBytes();
    }

    private RequestLimits limits() {
        return mState.table().map(RoutingTable::limits).orElse(RequestLimits.DEFAULT);
    }

    /**
     * Finds the route of a request and authenticates its workspace.
     *
     * @throws RefusalException if there is no routing table yet, no matching route, no workspace
     *     with the key of the request, or no server in a region that is allowed for it
     */
    AuthorizedRoute authorize(CallerRequest request) throws RefusalException {
        RoutingTable table =
                mState.table()
                        .orElseThrow(
                                () ->
                                        RefusalException.notRunRetry(
                                                RefusalReason.HOST_NOT_SERVING,
                                                ROUTING_TABLE_RETRY_MILLIS,
                                                Step.ADMIT,
                                                "this host has no routing table yet"));
        GatewayRoute route =
                table.route(request.virtualHost(), request.path())
                        .orElseThrow(
                                () ->
                                        RefusalException.notRun(
                                                RefusalReason.NOT_FOUND,
                                                Step.ADMIT,
                                                "no route matches this host and path"));
        Optional<WorkspaceDeclaration> workspace = workspace(table, route, request);
        requireRegion(route, allowedRegions(route, workspace));
        return new AuthorizedRoute(table, route, workspace);
    }

    /** Returns the regions that both a route and its workspace allow. */
    static AllowedRegions allowedRegions(
            GatewayRoute route, Optional<WorkspaceDeclaration> workspace) {
        return route.allowedRegions()
                .and(
                        workspace
                                .map(WorkspaceDeclaration::allowedRegions)
                                .orElse(AllowedRegions.ALL));
    }

    private void requireRegion(GatewayRoute route, AllowedRegions allowed) throws RefusalException {
        if (!allowed.bound() || !mState.regions().isBinding()) {
            return;
        }
        boolean hasServer =
                route.services().stream()
                        .flatMap(service -> mState.servers().registered(service.service()).stream())
                        .anyMatch(s -> mState.regions().admits(s.failureDomain(), allowed));
        if (!hasServer) {
            throw RefusalException.notRunRetry(
                    RefusalReason.BUSY,
                    NO_REGION_RETRY_MILLIS,
                    Step.ADMIT,
                    allowed.isNone()
                            ? "route and workspace allow no common region"
                            : "no allowed region has a backend server");
        }
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
     * Checks, immediately before a request is sent, that its route still leads to the same service,
     * its key still belongs to the same workspace, the same regions are allowed, and it ends before
     * this host if that is stopping.
     *
     * @throws RefusalException if the routing table has changed in between or this host stops, and
     *     the request may no longer run
     */
    void reauthorize(RequestContext context) throws RefusalException {
        mShutdown.requireTime(context);
        AuthorizedRoute current = authorize(context.caller());
        boolean sameService =
                current.route().services().stream()
                        .anyMatch(service -> service.service().equals(context.service()));
        boolean sameWorkspace =
                current.workspace().map(WorkspaceDeclaration::id).equals(context.workspaceId());
        boolean sameRegions =
                allowedRegions(current.route(), current.workspace())
                        .equals(context.allowedRegions());
        if (!sameService || !sameWorkspace || !sameRegions) {
            throw RefusalException.notRunRetry(
                    RefusalReason.BUSY,
                    ROUTING_TABLE_RETRY_MILLIS,
                    Step.ADMIT,
                    "the route changed before the request was sent");
        }
    }

    /**
     * The tokens that were charged for a request, and where.
     *
     * @param tokens the charged tokens
     */
    record ChargedTokens(long tokens, LimitCharging.Charge charge) {}

    /**
     * Charges the token cost of a request to the limit of its workspace. Fails with {@link
     * RefusalException} if the limit is exceeded.
     *
     * @return the charged tokens; empty if the workspace has no limit
     */
    Mono<Optional<ChargedTokens>> chargeQuota(
            CallerRequest request, WorkspaceDeclaration workspace) {
        TokenQuota quota = workspace.quota();
        if (!quota.isLimited()) {
            return Mono.just(Optional.empty());
        }
        long cost =
                request.tokens().map(TokenCounts::totalTokens).orElse(quota.defaultRequestTokens());
        return mCharging
                .charge(workspace.id(), quota, cost)
                .flatMap(
                        charge ->
                                charge.waitNanos() > 0
                                        ? Mono.error(overLimit(charge, cost))
                                        : Mono.just(Optional.of(new ChargedTokens(cost, charge))));
    }

    private static RefusalException overLimit(LimitCharging.Charge charge, long cost) {
        return RefusalException.notRunRetry(
                RefusalReason.OVER_LIMIT,
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(charge.waitNanos())),
                Step.ADMIT,
                "the workspace is over its token limit: "
                        + cost
                        + " tokens requested, "
                        + charge.detail());
    }

    /** Refunds the tokens that were charged for a request that has not run. */
    void refundQuota(WorkspaceDeclaration workspace, ChargedTokens charged) {
        mCharging.refund(charged.charge(), workspace.id(), charged.tokens());
    }
}
