package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.attempt.RequestAttempts;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.gateway.protocol.KvSource;
import org.fuchsiaford.entry.gateway.protocol.ServerRequest;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.routing.WorkspaceDeclaration;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * An admitted request on its way: what it is, how long it may take and what was tried. Only its
 * counters change, by the signals of one request, one after another.
 */
final class RequestContext {
    private final CallerRequest mCaller;
    private final byte[] mBody;
    private final GatewayRoute mRoute;
    private final ServiceId mService;
    private final Optional<WorkspaceDeclaration> mWorkspace;
    private final long mDeadlineNanos;
    private final RequestAttempts mAttempts;
    private int mSends;

    RequestContext(
            CallerRequest caller,
            byte[] body,
            GatewayRoute route,
            ServiceId service,
            Optional<WorkspaceDeclaration> workspace,
            long deadlineNanos) {
        mCaller = caller;
        mBody = body;
        mRoute = route;
        mService = service;
        mWorkspace = workspace;
        mDeadlineNanos = deadlineNanos;
        mAttempts = new RequestAttempts(route.kind(), route.maxServers());
    }

    CallerRequest caller() {
        return mCaller;
    }

    byte[] body() {
        return mBody;
    }

    GatewayRoute route() {
        return mRoute;
    }

    ServiceId service() {
        return mService;
    }

    Optional<WorkspaceId> workspaceId() {
        return mWorkspace.map(WorkspaceDeclaration::id);
    }

    RequestAttempts attempts() {
        return mAttempts;
    }

    /** Counts a send and returns how many there were before it. */
    int countSend() {
        return mSends++;
    }

    int sends() {
        return mSends;
    }

    long leftMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - nowNanos);
    }

    /** Returns the request as one backend server gets it. */
    ServerRequest to(
            LiveServer server,
            ServerRequest.Purpose purpose,
            long leftMillis,
            Optional<KvSource> source,
            Optional<String> lastEventId) {
        OptionalInt priority =
                mWorkspace
                        .map(WorkspaceDeclaration::priority)
                        .filter(OptionalInt::isPresent)
                        .orElse(OptionalInt.of(mRoute.priority()));
        return new ServerRequest(
                mCaller, server, purpose, leftMillis, workspaceId(), priority, source, lastEventId);
    }
}
